//! A loopback proxy that resets connections and drops or delays their bytes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Treatment of connections and their bytes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Mode {
    /// Forwards all bytes.
    Pass,
    /// Closes open connections, and new ones at once.
    Reset,
    /// Drops bytes in both directions.
    DropAll,
    /// Forwards requests and drops replies.
    DropReplies,
    /// Forwards bytes after a delay.
    Delay(Duration),
}

/// Time between two checks of an open connection for a reset.
const RESET_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A proxy in front of one server.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    mode: Rc<Cell<Mode>>,
}

impl Proxy {
    pub(crate) async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mode = Rc::new(Cell::new(Mode::Pass));
        let shared = Rc::clone(&mode);
        spawn_local(async move {
            while let Ok((from, _)) = listener.accept().await {
                spawn_local(forward(from, to, Rc::clone(&shared)));
            }
        });
        Self { address, mode }
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.mode.set(mode);
    }
}

async fn forward(from: TcpStream, to: SocketAddr, mode: Rc<Cell<Mode>>) {
    if mode.get() == Mode::Reset {
        return;
    }
    let Ok(to) = TcpStream::connect(to).await else {
        return;
    };
    let (from_read, from_write) = from.into_split();
    let (to_read, to_write) = to.into_split();
    let requests = copy(from_read, to_write, &mode, false);
    let replies = copy(to_read, from_write, &mode, true);
    let reset = async {
        while mode.get() != Mode::Reset {
            sleep(RESET_CHECK_INTERVAL).await;
        }
    };
    tokio::select! {
        () = requests => {}
        () = replies => {}
        () = reset => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mode: &Cell<Mode>, is_reply: bool) {
    let mut buf = vec![0; 16 * 1024];
    let mut has_dropped = false;
    loop {
        let Ok(read @ 1..) = from.read(&mut buf).await else {
            return;
        };
        match mode.get() {
            Mode::DropAll => has_dropped = true,
            Mode::DropReplies if is_reply => has_dropped = true,
            Mode::Delay(d) => sleep(d).await,
            _ => {}
        }
        // After dropped bytes the connection delivers nothing more, as the stream has a gap.
        if !has_dropped && to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}
