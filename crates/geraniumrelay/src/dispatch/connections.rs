//! Persistent connections to targets.
//!
//! A request is resent only if its connection returned it unsent; once any part of it may have been
//! sent, the outcome is unknown.

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

/// Maximum time to open a TCP connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Idle time after which a connection is not reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// Maximum number of idle connections to one target.
const MAX_IDLE_PER_TARGET: usize = 64;

/// Maximum size of the body of a target's reply.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// Reply of a target, with its whole body.
#[derive(Debug)]
pub struct TargetReply {
    /// HTTP status code.
    pub status: StatusCode,
    /// HTTP header fields.
    pub headers: HeaderMap,
    /// Body, at most `MAX_REPLY_BYTES` long.
    pub body: Bytes,
}

/// Reason why an exchange gave no complete reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// The request was not sent: no connection was opened, or the connection returned it unsent.
    NotSent,
    /// The request may have been sent.
    Interrupted,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

/// Idle connections of one dispatch thread, by target.
#[derive(Debug, Default)]
pub struct Connections {
    idle: RefCell<Map<SocketAddr, Vec<IdleConnection>>>,
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
                // The target closed the connection while it was idle.
                Err(mut e) => req = e.take_message().ok_or(ExchangeError::Interrupted)?,
            }
        }
        let mut sender = connect(address).await?;
        match sender.try_send_request(req).await {
            Ok(res) => self.read(address, sender, res).await,
            Err(mut e) => match e.take_message() {
                Some(_) => Err(ExchangeError::NotSent),
                None => Err(ExchangeError::Interrupted),
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
        let body = Limited::new(body, MAX_REPLY_BYTES).collect().await;
        let body = body.map_err(|_| ExchangeError::Interrupted)?.to_bytes();
        self.put_idle(address, sender);
        Ok(TargetReply {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        let stack = idle.get_mut(&address)?;
        while let Some(IdleConnection { sender, since }) = stack.pop() {
            if since.elapsed() > MAX_IDLE_TIME {
                // The connections left in the stack are older.
                stack.clear();
                return None;
            }
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.borrow_mut();
        let stack = idle.entry(address).or_default();
        if stack.len() < MAX_IDLE_PER_TARGET && !sender.is_closed() {
            stack.push(IdleConnection {
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
    // Nagle's algorithm would delay small requests until the target acknowledges earlier data.
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| ExchangeError::NotSent)?;
    spawn_local(async move {
        // The sender reports the end of the connection.
        let _ = connection.await;
    });
    Ok(sender)
}
