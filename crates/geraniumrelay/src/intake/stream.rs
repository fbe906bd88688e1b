//! A client's TCP stream that accounts for the bytes of unfinished heads.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connection::{Connection, NoMemory};

/// Most bytes of one read. The HTTP library enlarges its buffer after a read that fills it, and its smallest buffer is
/// larger.
const MAX_READ: usize = 4 << 10;

/// Bytes of a head that are part of what each connection holds.
const FREE_HEAD_BYTES: usize = 8 << 10;

/// Bytes of a head that are accounted for at a time.
const HEAD_STEP: usize = 8 << 10;

/// The stream of a [`Connection`], for the HTTP library.
#[derive(Debug)]
pub(crate) struct ClientStream {
    stream: TcpStream,
    head: Rc<HeadBytes>,
}

/// Bytes of the head that is being read. The HTTP library keeps a head until its request has ended.
#[derive(Debug)]
pub(crate) struct HeadBytes {
    connection: Rc<Connection>,
    is_reading: Cell<bool>,
    read: Cell<usize>,
    accounted: Cell<usize>,
}

impl ClientStream {
    /// Makes the stream of an admitted connection, and its count of the bytes of heads.
    pub(crate) fn new(stream: TcpStream, connection: Rc<Connection>) -> (Self, Rc<HeadBytes>) {
        let head = Rc::new(HeadBytes {
            connection,
            is_reading: Cell::new(true),
            read: Cell::new(0),
            accounted: Cell::new(FREE_HEAD_BYTES),
        });
        let stream = Self {
            stream,
            head: Rc::clone(&head),
        };
        (stream, head)
    }
}

impl HeadBytes {
    /// Records that a whole head has been read.
    pub(crate) fn end(&self) {
        self.is_reading.set(false);
    }

    /// Whether a request has been read up to its body and has no answer yet.
    pub(crate) fn is_in_request(&self) -> bool {
        !self.is_reading.get()
    }

    /// Records that the request has ended, so that the next head is read.
    pub(crate) fn begin_next(&self) {
        self.is_reading.set(true);
        self.read.set(0);
        self.accounted.set(FREE_HEAD_BYTES);
    }

    /// Accounts for the next read.
    fn poll_reserve(&self, cx: &mut Context<'_>) -> Poll<Result<(), NoMemory>> {
        if !self.is_reading.get() || self.read.get() + MAX_READ <= self.accounted.get() {
            return Poll::Ready(Ok(()));
        }
        ready!(self.connection.poll_hold(cx, HEAD_STEP))?;
        self.accounted.set(self.accounted.get() + HEAD_STEP);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if ready!(self.head.poll_reserve(cx)).is_err() {
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        let max = buf.remaining().min(MAX_READ);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(max));
        let polled = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let read = part.filled().len();
        buf.advance(read);
        self.head.read.set(self.head.read.get() + read);
        polled
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
