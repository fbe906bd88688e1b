//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(k, _)| k.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// A server that can be taken down with all its connections, as a process that dies.
pub struct Server {
    pub address: SocketAddr,
    is_down: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves requests; the handler returns a status and a body, or `None` to close without a response.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(&Request) -> Option<(u16, String)> + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let is_down = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (down, open, handler) = (Arc::clone(&is_down), Arc::clone(&connections), Arc::new(handler));
        spawn(move || {
            for stream in listener.incoming() {
                if down.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let handler = Arc::clone(&handler);
                spawn(move || serve(&stream, &*handler));
            }
        });
        Ok(Self { address, is_down, connections })
    }

    /// Closes the listener and all connections.
    pub fn take_down(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

pub fn spawn(f: impl FnOnce() + Send + 'static) {
    thread::Builder::new().stack_size(256 * 1024).spawn(f).expect("a thread starts");
}

fn serve(stream: &TcpStream, handler: &dyn Fn(&Request) -> Option<(u16, String)>) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(&request) else { break };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut out = stream;
        if out.write_all(format!("{head}{body}").as_bytes()).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

type Headers = Vec<(String, String)>;

fn read_head(reader: &mut impl BufRead) -> Option<(String, Headers)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl Read, headers: &Headers) -> Option<String> {
    let length = headers.iter().find(|(k, _)| k.eq_ignore_ascii_case("content-length"));
    let length = length.map_or(Some(0), |(_, v)| v.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn read_request(reader: &mut BufReader<&TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let path = words.nth(1)?.to_owned();
    let body = read_body(reader, &headers)?;
    Some(Request { path, headers, body })
}

/// One call on a connection of its own; `None` without a complete response in time.
pub fn call(
    address: SocketAddr,
    (method, path, host): (&str, &str, &str),
    body: &str,
    wait: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let _ = stream.set_nodelay(true);
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Geraniumrelay-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        wait.as_millis(),
        body.len()
    );
    (&stream).write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(&stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, body))
}
