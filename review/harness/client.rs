//! A client on a machine of the deployment.

use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Message, read_body, read_head};

/// A connection of a client.
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(15)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads one response; `None` if the connection ends before its head is complete.
    pub fn receive(&mut self) -> Option<Message> {
        let mut message = read_head(&mut self.reader).ok()??;
        // An error leaves the response incomplete.
        let _ = read_body(&mut self.reader, &mut message, true);
        Some(message)
    }
}

/// Returns the bytes of a request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, key: &str, body: &[u8]) -> Vec<u8> {
    let mut text =
        format!("{method} {path} HTTP/1.1\r\nHost: trips.example\r\nRequest-Id: {id}\r\nDeadline: {deadline_ms}\r\n");
    if !key.is_empty() {
        text.push_str(&format!("Authorization: Token {key}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection, and returns its response.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> Option<Message> {
    let mut connection = Connection::open(address).ok()?;
    connection.send(bytes).ok()?;
    connection.receive()
}
