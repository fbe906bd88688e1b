//! HTTP/1.1 with blocking sockets: a server with a handler, and a client for one request.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

pub type Reply = (u16, String);

fn read_headers(reader: &mut impl BufRead) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body(reader: &mut impl Read, headers: &BTreeMap<String, String>) -> Option<String> {
    let length = headers.get("content-length").map_or("0", |v| v);
    let mut body = vec![0; length.parse().ok()?];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        if let Some(byte) = hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            out.push(byte);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Serves requests of one connection until it ends, or the handler gives no reply.
pub fn serve(stream: TcpStream, handler: impl Fn(Request) -> Option<Reply>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(n) if n > 0) {
            return;
        }
        let mut words = line.split_whitespace();
        let (Some(method), Some(target)) = (words.next(), words.next()) else { return };
        let Some(headers) = read_headers(&mut reader) else { return };
        let Some(body) = read_body(&mut reader, &headers) else { return };
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        let request = Request {
            method: method.to_owned(),
            path: path.to_owned(),
            query: pairs.map(|(k, v)| (k.to_owned(), decode(v))).collect(),
            headers,
            body,
        };
        let Some((status, body)) = handler(request) else { return };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends one request on a connection of its own; `None` without a complete response in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<Reply> {
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        head += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n", body.len());
    }
    stream.write_all((head + "\r\n" + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    Some((status, read_body(&mut reader, &headers)?))
}
