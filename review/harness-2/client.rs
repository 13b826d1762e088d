//! Stand-in for the clients of one machine.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{read_body, read_head};
use crate::record::Record;

/// What a client saw of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The connection could not be opened.
    NotConnected,
    /// A whole answer with this status.
    Whole(u16),
    /// The connection ended without a complete answer.
    Cut,
    /// The deadline passed.
    Deadline,
}

#[derive(Clone, Debug)]
pub struct Sent {
    pub request_id: String,
    pub sent_ms: u64,
    pub answered_ms: u64,
    pub answer: Answer,
}

/// A request of a client.
#[derive(Clone)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: &'static str,
    pub deadline_ms: u64,
}

/// Sends one request on a new connection and waits for its answer until its deadline.
pub fn send(node: SocketAddr, request: &Request, record: &Record) -> Sent {
    let sent_ms = record.ms();
    let answer = exchange(node, request, record);
    record.line(&format!("client: {} sent at {sent_ms} ms: {answer:?}", request.id));
    Sent { request_id: request.id.clone(), sent_ms, answered_ms: record.ms(), answer }
}

fn exchange(node: SocketAddr, request: &Request, record: &Record) -> Answer {
    let sent_ms = record.ms();
    let Ok(mut stream) = TcpStream::connect_timeout(&node, Duration::from_secs(1)) else { return Answer::NotConnected };
    let Request { id, method, path, key, deadline_ms } = request;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nDeadline: {deadline_ms}\r\nAuthorization: Token {key}\r\n{}\r\n",
        if *method == "POST" { "Content-Length: 0\r\n" } else { "" }
    );
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(*deadline_ms)));
    if stream.write_all(head.as_bytes()).is_err() {
        return Answer::Cut;
    }
    let mut reader = BufReader::new(stream);
    let mut read = || -> std::io::Result<Option<u16>> {
        let Some(mut response) = read_head(&mut reader)? else { return Ok(None) };
        read_body(&mut reader, &mut response, 0)?;
        Ok(response.word(1).parse().ok())
    };
    let result = read();
    match result {
        Ok(Some(status)) => Answer::Whole(status),
        _ if record.ms() >= sent_ms + deadline_ms => Answer::Deadline,
        _ => Answer::Cut,
    }
}
