//! Child processes of a test.

use std::{
    env,
    fs::File,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        ExitStatus,
        Stdio, //
    },
    time::Duration, //
};

use eyre::{
    Result,
    WrapErr,
    eyre, //
};

use crate::{
    usage::resident_bytes,
    wait::wait_until, //
};

/// A process that is killed when this value is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    log: PathBuf,
}

impl ChildProcess {
    /// Starts a binary of the workspace; its output goes to `log`.
    ///
    /// # Errors
    ///
    /// Fails when the binary is not built or the log can't be written.
    pub fn start(binary: &str, args: &[String], log: &Path) -> Result<Self> {
        Self::start_with(binary, args, log, Stdio::null())
    }

    /// Starts a binary as [`ChildProcess::start`] does, with a standard input.
    ///
    /// # Errors
    ///
    /// Fails when the binary is not built or the log can't be written.
    pub fn start_with(binary: &str, args: &[String], log: &Path, input: Stdio) -> Result<Self> {
        let path = binary_path(binary)?;
        let out = File::create(log).wrap_err_with(|| log.display().to_string())?;
        let child = Command::new(&path)
            .args(args)
            .stdin(input)
            .stderr(out.try_clone()?)
            .stdout(out)
            .spawn()
            .wrap_err_with(|| format!("{}; build the workspace first", path.display()))?;
        Ok(Self {
            child,
            log: log.to_owned(),
        })
    }

    /// Sends a signal by name, such as `TERM`, `KILL`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn signal(&self, name: &str) -> Result<()> {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(eyre!("signal {name} was not delivered"))
        }
    }

    /// Kills the process, if it runs, and waits for its end.
    pub fn end(&mut self) {
        // Both fail if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Exit status of the process; none while it runs.
    ///
    /// # Errors
    ///
    /// Fails when the system can't report it.
    pub fn status(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Waits until the process has ended by itself.
    ///
    /// # Errors
    ///
    /// Fails when it does not end in time.
    pub async fn ended(&mut self) -> Result<ExitStatus> {
        let child = &mut self.child;
        wait_until("a process to end", || {
            let status = child.try_wait().ok().flatten();
            async move { status }
        })
        .await
    }

    /// Output of the process so far.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be read.
    pub fn log(&self) -> Result<String> {
        Ok(std::fs::read_to_string(&self.log)?)
    }

    /// Process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Resident memory, in bytes.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn resident_bytes(&self) -> Result<u64> {
        resident_bytes(self.id())
    }

    /// Processor time used so far, user and system together.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn processor_time(&self) -> Result<Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let (_, fields) = stat
            .rsplit_once(')')
            .ok_or_else(|| eyre!("the process is gone"))?;
        // Fields 14 and 15 of /proc/PID/stat, see proc(5); the first field here is field 3.
        let ticks: u64 = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok())
            .sum();
        Ok(Duration::from_millis(ticks * TICK_MS))
    }
}

/// Length of a clock tick on Linux, in milliseconds.
const TICK_MS: u64 = 10;

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.end();
    }
}

/// Path of a binary in the target directory that the test itself runs from.
fn binary_path(binary: &str) -> Result<PathBuf> {
    let test = env::current_exe()?;
    let folder = test
        .ancestors()
        .find(|folder| folder.join("deps").is_dir())
        .ok_or_else(|| eyre!("the test runs outside a target directory"))?;
    Ok(folder.join(binary))
}
