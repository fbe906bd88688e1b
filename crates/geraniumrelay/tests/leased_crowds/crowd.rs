//! Clients that send as much as the limits allow, stop just short of the end, and keep their connections open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{JoinSet, yield_now};
use tokio::time::timeout;

/// Longest wait of the whole crowd to send what it has.
pub(crate) const MAX_SEND_TIME: Duration = Duration::from_mins(1);

/// Time for which a crowd stays once it has sent what it has: what the kernel holds is still to be read.
pub(crate) const STAY: Duration = Duration::from_secs(4);

/// Longest wait for the answer to an ordinary request, with its repetitions.
pub(crate) const MAX_ANSWER_TIME: Duration = Duration::from_secs(30);

/// Size of the head that a [`Part::Head`] leaves without an end.
const HEAD_BYTES: usize = 31_000;

/// Bytes of requests that a [`Part::Requests`] sends at most.
const REQUESTS_BYTES: usize = 1 << 20;

/// What each client of a crowd sends.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Part {
    /// A body of a declared length, without its last byte, at once.
    WholeBody,
    /// The same in pieces of this many bytes.
    Pieces(usize),
    /// A chunked body without its end, in chunks of this many bytes.
    Chunks(usize),
    /// A head without its end.
    Head,
    /// Nothing.
    Nothing,
    /// Requests one after the other, whose answers it does not read.
    Requests,
}

/// Clients on a thread of their own; they leave when the crowd is dropped.
#[derive(Debug)]
pub(crate) struct Crowd {
    clients: usize,
    sent: Arc<AtomicUsize>,
    /// Dropped to let the clients leave.
    _stay: watch::Sender<()>,
}

impl Crowd {
    /// Starts clients that each send a part of a request to `address`; `line` is its first line with the host, and
    /// `body_bytes` the size of its body.
    pub(crate) fn start(
        address: SocketAddr,
        line: &str,
        (clients, body_bytes): (usize, usize),
        part: Part,
    ) -> Self {
        let (stay, left) = watch::channel(());
        let sent = Arc::new(AtomicUsize::new(0));
        let (line, count) = (line.to_owned(), Arc::clone(&sent));
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async move {
                let mut tasks = JoinSet::new();
                for _ in 0..clients {
                    let (line, count, mut left) = (line.clone(), Arc::clone(&count), left.clone());
                    tasks.spawn(async move {
                        let stream = TcpStream::connect(address).await;
                        if let Ok(mut stream) = stream {
                            send(&mut stream, &line, body_bytes, part).await;
                            count.fetch_add(1, Ordering::Relaxed);
                            // Fails once the crowd is dropped.
                            let _ = left.changed().await;
                        } else {
                            count.fetch_add(1, Ordering::Relaxed);
                        }
                    });
                }
                while tasks.join_next().await.is_some() {}
            });
        });
        Self {
            clients,
            sent,
            _stay: stay,
        }
    }

    /// Whether each client has sent its part, or was refused.
    pub(crate) fn has_sent(&self) -> bool {
        self.sent.load(Ordering::Relaxed) == self.clients
    }
}

/// Sends a part of a request; ends early if the other end closes the connection or does not read.
async fn send(stream: &mut TcpStream, line: &str, body_bytes: usize, part: Part) {
    let sent = send_part(stream, line, body_bytes, part);
    let _ = timeout(MAX_SEND_TIME / 2, sent).await;
}

async fn send_part(
    stream: &mut TcpStream,
    line: &str,
    body_bytes: usize,
    part: Part,
) -> std::io::Result<()> {
    let kept_back = body_bytes - 1;
    match part {
        Part::WholeBody => {
            let head = format!("{line}Content-Length: {body_bytes}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&vec![b' '; kept_back]).await
        }
        Part::Pieces(size) => {
            let head = format!("{line}Content-Length: {body_bytes}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            let mut left = kept_back;
            while left > 0 {
                let size = size.min(left);
                stream.write_all(&vec![b' '; size]).await?;
                left -= size;
                yield_now().await;
            }
            Ok(())
        }
        Part::Chunks(size) => {
            let head = format!("{line}Transfer-Encoding: chunked\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            let chunk = [
                format!("{size:x}\r\n").into_bytes(),
                vec![b' '; size],
                b"\r\n".to_vec(),
            ]
            .concat();
            let batch = (4_096 / chunk.len()).max(1);
            let mut left = kept_back / size;
            while left > 0 {
                let count = batch.min(left);
                stream.write_all(&chunk.repeat(count)).await?;
                left -= count;
                yield_now().await;
            }
            Ok(())
        }
        Part::Head => {
            let filler = "x".repeat(HEAD_BYTES - line.len());
            let head = format!("{line}X-Filler: {filler}");
            stream.write_all(head.as_bytes()).await
        }
        Part::Nothing => Ok(()),
        Part::Requests => {
            let request = format!("{line}\r\n").repeat(64);
            let mut sent = 0;
            while sent < REQUESTS_BYTES {
                let writing = stream.write_all(request.as_bytes());
                if timeout(Duration::from_secs(1), writing).await.is_err() {
                    return Ok(());
                }
                sent += request.len();
            }
            Ok(())
        }
    }
}

/// Status of the answer to a whole request; `None` if the connection ends without one.
pub(crate) async fn exchange(address: SocketAddr, req: &[u8]) -> Option<u16> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(req).await.ok()?;
        let mut buf = [0; 12];
        stream.read_exact(&mut buf).await.ok()?;
        std::str::from_utf8(&buf[9..]).ok()?.parse().ok()
    };
    timeout(MAX_ANSWER_TIME, exchange).await.ok()?
}

/// Peak of the resident memory of a process, in kB.
pub(crate) fn peak_memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let peak = peak.expect("the process lives").trim();
    peak.strip_suffix(" kB").unwrap().parse().unwrap()
}

/// Number of open descriptors of a process.
pub(crate) fn open_descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd"))
        .unwrap()
        .count()
}
