//! Kept connections to targets.
//!
//! A request is sent again only where the connection gave it back unsent; once any of it may have
//! left, the outcome is unknown.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use geraniumrelay_core::collections::Map;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Longest wait for a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Idle time after which a kept connection is not used again.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

/// Idle connections kept to one target.
const MAX_IDLE_PER_TARGET: usize = 64;

/// Largest reply of a target, in bytes.
const MAX_REPLY: usize = 4 << 20;

/// Whole reply of a target.
#[derive(Debug)]
pub struct TargetReply {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Why there is no whole reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// The request never left: no connection was made, or it was given back unsent.
    NotSent,
    /// The request may have left.
    Broken,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

/// Connections of one dispatch thread.
#[derive(Debug, Default)]
pub struct Connections {
    idle: RefCell<Map<SocketAddr, Vec<Idle>>>,
}

impl Connections {
    /// Sends a request and reads the whole reply.
    ///
    /// # Errors
    /// Any [`ExchangeError`].
    pub async fn exchange(
        &self,
        address: SocketAddr,
        mut req: Request<Full<Bytes>>,
    ) -> Result<TargetReply, ExchangeError> {
        while let Some(mut sender) = self.take_idle(address) {
            if sender.ready().await.is_err() {
                continue;
            }
            match sender.try_send_request(req).await {
                Ok(res) => return self.read(address, sender, res).await,
                // The target closed it while it was idle.
                Err(mut e) => req = e.take_message().ok_or(ExchangeError::Broken)?,
            }
        }
        let mut sender = connect(address).await?;
        match sender.try_send_request(req).await {
            Ok(res) => self.read(address, sender, res).await,
            Err(mut e) => match e.take_message() {
                Some(_) => Err(ExchangeError::NotSent),
                None => Err(ExchangeError::Broken),
            },
        }
    }

    async fn read(
        &self,
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        res: hyper::Response<hyper::body::Incoming>,
    ) -> Result<TargetReply, ExchangeError> {
        let (head, body) = res.into_parts();
        let body = Limited::new(body, MAX_REPLY).collect().await;
        let body = body.map_err(|_| ExchangeError::Broken)?.to_bytes();
        self.keep(address, sender);
        Ok(TargetReply {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        while let Some(Idle { sender, since }) = kept.pop() {
            if since.elapsed() > MAX_IDLE_AGE {
                // All that are left are older.
                kept.clear();
                return None;
            }
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        if kept.len() < MAX_IDLE_PER_TARGET && !sender.is_closed() {
            kept.push(Idle {
                sender,
                since: Instant::now(),
            });
        }
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, ExchangeError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let Ok(Ok(stream)) = connecting.await else {
        return Err(ExchangeError::NotSent);
    };
    // Without it small requests wait for the target's acknowledgement.
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| ExchangeError::NotSent)?;
    spawn_local(async move {
        // Its end shows at the sender.
        let _ = connection.await;
    });
    Ok(sender)
}
