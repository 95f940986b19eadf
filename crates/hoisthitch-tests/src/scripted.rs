//! A runner that misbehaves by script, byte for byte, on raw sockets.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration, //
};

use eyre::Result;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    task::JoinHandle, //
};

/// What the runner does with each connection.
#[derive(Clone, Debug)]
pub enum ScriptStep {
    /// Reads one request, to the end of its body.
    Read,
    /// Sends bytes.
    Send(Vec<u8>),
    /// Waits.
    Wait(Duration),
    /// Closes with a reset.
    Reset,
}

/// A runner that follows a script on each connection, then closes it.
pub struct ScriptedRunner {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

impl ScriptedRunner {
    /// Starts on an address.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be listened on.
    pub async fn start(listen: SocketAddr, script: Vec<ScriptStep>) -> Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let requests = Arc::new(Mutex::new(Vec::new()));
        let seen = requests.clone();
        let task = actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(follow(stream, script.clone(), seen.clone()));
            }
        });
        Ok(Self {
            address,
            requests,
            task,
        })
    }

    /// Address that it listens on; the system's choice if port 0 was asked for.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests read so far, as text.
    pub fn requests(&self) -> Vec<String> {
        let requests = self.requests.lock();
        requests.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for ScriptedRunner {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn follow(
    mut stream: TcpStream,
    script: Vec<ScriptStep>,
    seen: Arc<Mutex<Vec<String>>>,
) -> std::io::Result<()> {
    for step in script {
        match step {
            ScriptStep::Read => {
                let request = read_request(&mut stream).await?;
                if request.is_empty() {
                    // A connection that was opened ahead and never used.
                    return Ok(());
                }
                let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
                seen.push(request);
            }
            ScriptStep::Send(bytes) => {
                stream.write_all(&bytes).await?;
                stream.flush().await?;
            }
            ScriptStep::Wait(time) => tokio::time::sleep(time).await,
            ScriptStep::Reset => {
                stream.set_zero_linger()?;
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Reads a head, and a body of the length that the head names.
async fn read_request(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && body.len() >= named_length(head)
        {
            return Ok(text);
        }
        let size = stream.read(&mut buffer).await?;
        if size == 0 {
            return Ok(text);
        }
        bytes.extend_from_slice(&buffer[..size]);
    }
}

fn named_length(head: &str) -> usize {
    let lines = head.lines().map(str::to_ascii_lowercase);
    lines
        .filter_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok())
        .next()
        .unwrap_or(0)
}

/// Sends bytes on a connection of its own and reads until it is closed, or
/// until nothing has come for `quiet`.
///
/// # Errors
///
/// Fails when the address can't be connected to.
pub async fn raw_exchange(address: SocketAddr, bytes: &[u8], quiet: Duration) -> Result<RawAnswer> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(bytes).await?;
    let mut answer = RawAnswer::default();
    let mut buffer = vec![0; 64 << 10];
    loop {
        match tokio::time::timeout(quiet, stream.read(&mut buffer)).await {
            Err(_) => return Ok(answer),
            Ok(Ok(size)) if size > 0 => answer.bytes.extend_from_slice(&buffer[..size]),
            Ok(_) => {
                answer.closed = true;
                return Ok(answer);
            }
        }
    }
}

/// What came back on a raw connection.
#[derive(Clone, Debug, Default)]
pub struct RawAnswer {
    /// All bytes.
    pub bytes: Vec<u8>,
    /// Whether the connection was closed.
    pub closed: bool,
}

impl RawAnswer {
    /// The bytes as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.bytes).into_owned()
    }

    /// Number of answers with the status line's start.
    pub fn count(&self, start: &str) -> usize {
        self.text().matches(start).count()
    }
}
