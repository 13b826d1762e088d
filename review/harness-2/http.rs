//! HTTP/1.1 messages with a length or in chunks.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub struct Message {
    /// First line of the head.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Returns the part of the first line with this index.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

/// Reads the head of a message; `None` if the connection was closed before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> Result<Option<Message>> {
    let mut message = Message { start: String::new(), headers: Vec::new(), body: Vec::new() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if message.start.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
        }
        let line = line.trim_end();
        if message.start.is_empty() {
            message.start = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length or in chunks, at `bytes_per_ms` if that is not zero. Fails if it ends early.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, bytes_per_ms: usize) -> Result<()> {
    let chunked = message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| Error::from(ErrorKind::InvalidData))?;
            read_exactly(reader, &mut message.body, size, bytes_per_ms)?;
            let mut end = String::new();
            reader.read_line(&mut end)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    read_exactly(reader, &mut message.body, length, bytes_per_ms)
}

fn read_exactly(reader: &mut impl Read, body: &mut Vec<u8>, mut left: usize, bytes_per_ms: usize) -> Result<()> {
    while left > 0 {
        let mut part = vec![0; left.min(if bytes_per_ms > 0 { bytes_per_ms * 10 } else { 65_536 })];
        let count = reader.read(&mut part)?;
        if count == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&part[..count]);
        left -= count;
        if bytes_per_ms > 0 {
            std::thread::sleep(Duration::from_millis((count / bytes_per_ms) as u64));
        }
    }
    Ok(())
}

/// Serves a listener with a thread for each connection until the process ends. `handle` writes the response to each
/// request and returns whether the connection stays open.
pub fn serve(listener: TcpListener, handle: impl Fn(Message, &mut TcpStream) -> bool + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(mut request)) = read_head(&mut reader) {
                    if read_body(&mut reader, &mut request, 0).is_err() || !handle(request, &mut writer) {
                        break;
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

/// Writes a whole response with a length.
pub fn respond(writer: &mut impl Write, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    writer.write_all(&[head.as_bytes(), body].concat()).is_ok()
}

/// Sends one request on a new connection and returns the whole response.
pub fn request(address: SocketAddr, method: &str, path: &str, body: &str, timeout_ms: u64) -> Result<Message> {
    let limit = Duration::from_millis(timeout_ms);
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut response = read_head(&mut reader)?.ok_or(ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut response, 0)?;
    Ok(response)
}
