//! Writes to the platform's store, as the operator does.

use std::net::SocketAddr;

use crate::client::exchange;

/// Appends a record with a key to a topic, and waits for the acknowledgement.
pub fn write(store: SocketAddr, topic: &str, key: &str, value: &str) {
    let mut content = vec![key.len() as u8];
    content.extend_from_slice(key.as_bytes());
    content.extend_from_slice(value.as_bytes());
    let mut body = (content.len() as u32).to_be_bytes().to_vec();
    body.extend_from_slice(&content);
    let head = format!(
        "POST /fulmartrestle/log-append?topic={topic}&part=0 HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&body);
    let status = exchange(store, &bytes).map_or(0, |response| response.status());
    assert_eq!(status, 200, "the store takes the record {key}");
}
