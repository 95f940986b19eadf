//! A runner that follows a script, byte for byte, on raw sockets, and a client for raw bytes.

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

/// A step of the script that the runner follows on each connection.
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

/// A runner that follows the same script on each connection, then closes it.
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

    /// Address that it listens on; its port is chosen by the system if 0 was requested.
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
                    // The entry opened the connection in advance and never used it.
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

/// Reads a request: its head, and a body of the length given in the head.
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

/// Sends bytes on a new connection and reads until it is closed, or until nothing has arrived for
/// `quiet`.
///
/// # Errors
///
/// Fails when the connection can't be opened, or breaks.
pub async fn raw_exchange(
    address: SocketAddr,
    bytes: &[u8],
    quiet: Duration,
) -> Result<RawResponse> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(bytes).await?;
    let mut response = RawResponse::default();
    let mut buffer = vec![0; 64 << 10];
    loop {
        match tokio::time::timeout(quiet, stream.read(&mut buffer)).await {
            Err(_) => return Ok(response),
            Ok(Ok(size)) if size > 0 => response.bytes.extend_from_slice(&buffer[..size]),
            Ok(_) => {
                response.closed = true;
                return Ok(response);
            }
        }
    }
}

/// Bytes received on a raw connection.
#[derive(Clone, Debug, Default)]
pub struct RawResponse {
    /// All bytes.
    pub bytes: Vec<u8>,
    /// Whether the other side closed the connection.
    pub closed: bool,
}

impl RawResponse {
    /// The bytes as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.bytes).into_owned()
    }

    /// Number of responses whose status line begins with `start`.
    pub fn count(&self, start: &str) -> usize {
        self.text().matches(start).count()
    }
}
