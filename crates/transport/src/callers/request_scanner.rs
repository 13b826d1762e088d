//! Finds the heads of requests in the bytes that a caller sends on an HTTP/1.1 connection.

use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{HeaderName, Method, Request, Version};

/// Maximum number of headers of a request, as in `hyper`.
const MAX_HEADERS: usize = 100;

/// Longest line in front of a chunk or in the trailers, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 4 * 1024;

const HEX_RADIX: u32 = 16;

/// A request whose head has arrived.
#[derive(Debug)]
pub struct ScannedRequest {
    head: Vec<u8>,
    /// Whether a body follows the head.
    pub has_body: bool,
}

impl ScannedRequest {
    /// Parses the method, URI and headers; `None` if the URI or a header is invalid. Most requests are alone on their
    /// connection, so that only the HTTP server parses them.
    pub fn parts(&self) -> Option<Parts> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        head.parse(&self.head).ok()?;
        to_request(&head)
    }
}

/// What the next byte belongs to.
#[derive(Debug)]
enum Position {
    Head,
    /// A body with this many bytes left.
    Body(u64),
    ChunkSize,
    /// A chunk with this many bytes left, its line end included.
    ChunkData(u64),
    Trailers,
    /// The rest of the connection is not understood, or holds no further requests.
    Unknown,
}

/// Follows the framing of a connection's requests. It only reads along: a connection whose framing it does not
/// understand yields no further requests, and what is wrong with it is left to the HTTP server.
#[derive(Debug)]
pub struct RequestScanner {
    position: Position,
    /// The part of a head, of a chunk's size or of a trailer that has arrived.
    partial: Vec<u8>,
    max_head_bytes: usize,
}

impl RequestScanner {
    /// Returns the scanner of a new connection. Longer heads than `max_head_bytes` are not understood.
    pub fn new(max_head_bytes: usize) -> Self {
        Self { position: Position::Head, partial: Vec::new(), max_head_bytes }
    }

    /// Returns whether a body has begun and not ended.
    pub fn is_within_body(&self) -> bool {
        matches!(self.position, Position::Body(_) | Position::ChunkSize | Position::ChunkData(_) | Position::Trailers)
    }

    /// Reads the next bytes of the connection, and returns the requests whose heads end in them.
    pub fn scan(&mut self, mut bytes: &[u8]) -> Vec<ScannedRequest> {
        let mut requests = Vec::new();
        while !bytes.is_empty() {
            match self.position {
                Position::Head => match self.scan_head(bytes) {
                    Some((rest, request)) => {
                        requests.push(request);
                        bytes = rest;
                    }
                    None => return requests,
                },
                Position::Body(left) => bytes = self.skip(bytes, left, Position::Body, Position::Head),
                Position::ChunkData(left) => bytes = self.skip(bytes, left, Position::ChunkData, Position::ChunkSize),
                Position::ChunkSize => match self.scan_line(bytes) {
                    Some((rest, line)) => {
                        self.position = position_after_chunk_size(&line);
                        bytes = rest;
                    }
                    None => return requests,
                },
                Position::Trailers => match self.scan_line(bytes) {
                    Some((rest, line)) => {
                        self.position = if line.is_empty() { Position::Head } else { Position::Trailers };
                        bytes = rest;
                    }
                    None => return requests,
                },
                Position::Unknown => return requests,
            }
        }
        requests
    }

    /// Returns the request whose head is complete with `bytes`, and the bytes behind it.
    fn scan_head<'b>(&mut self, bytes: &'b [u8]) -> Option<(&'b [u8], ScannedRequest)> {
        let known_bytes = self.partial.len();
        if known_bytes > 0 {
            self.partial.extend_from_slice(bytes);
        }
        let available = if known_bytes > 0 { &self.partial[..] } else { bytes };
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let parsed = match head.parse(available) {
            Ok(httparse::Status::Complete(head_bytes)) if head.version == Some(1) => {
                Some((head_bytes, body_position(&head), is_last(head.headers)))
            }
            Ok(httparse::Status::Partial) if available.len() <= self.max_head_bytes => {
                if known_bytes == 0 {
                    self.partial.extend_from_slice(bytes);
                }
                return None;
            }
            Ok(_) | Err(_) => None,
        };
        let Some((head_bytes, body, is_last)) = parsed else {
            self.partial.clear();
            self.position = Position::Unknown;
            return None;
        };
        let has_body = !matches!(body, Position::Head);
        let request = ScannedRequest { head: available[..head_bytes].to_vec(), has_body };
        self.position = if is_last { Position::Unknown } else { body };
        self.partial.clear();
        Some((&bytes[head_bytes - known_bytes..], request))
    }

    /// Returns the line that ends in `bytes`, without its end, and the bytes behind it.
    fn scan_line<'b>(&mut self, bytes: &'b [u8]) -> Option<(&'b [u8], Vec<u8>)> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        self.partial.extend_from_slice(&bytes[..end.unwrap_or(bytes.len())]);
        if self.partial.len() > MAX_CHUNK_LINE_BYTES {
            self.position = Position::Unknown;
            self.partial.clear();
            return None;
        }
        let end = end?;
        let mut line = std::mem::take(&mut self.partial);
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        Some((&bytes[end + 1..], line))
    }

    fn skip<'b>(&mut self, bytes: &'b [u8], left: u64, within: fn(u64) -> Position, behind: Position) -> &'b [u8] {
        let skipped = left.min(bytes.len() as u64);
        self.position = if skipped == left { behind } else { within(left - skipped) };
        &bytes[skipped as usize..]
    }
}

fn to_request(head: &httparse::Request<'_, '_>) -> Option<Parts> {
    let mut builder = Request::builder().method(head.method?).uri(head.path?).version(Version::HTTP_11);
    for header in head.headers.iter() {
        builder = builder.header(header.name, header.value);
    }
    builder.body(()).ok().map(|request| request.into_parts().0)
}

/// Returns where the scanner is behind the head of a request.
fn body_position(head: &httparse::Request<'_, '_>) -> Position {
    if head.method == Some(Method::CONNECT.as_str()) {
        return Position::Unknown;
    }
    let mut lengths = values(head.headers, &CONTENT_LENGTH);
    let codings = values(head.headers, &TRANSFER_ENCODING).last();
    match (codings, lengths.next(), lengths.next()) {
        (None, None, None) => Position::Head,
        (Some(coding), None, None) if coding.to_ascii_lowercase().ends_with(b"chunked") => Position::ChunkSize,
        (None, Some(length), None) => {
            let length = std::str::from_utf8(length).ok();
            let length = length.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
            match length.and_then(|text| text.parse().ok()) {
                Some(0) => Position::Head,
                Some(length) => Position::Body(length),
                None => Position::Unknown,
            }
        }
        _ => Position::Unknown,
    }
}

/// Returns whether the bytes behind a request are not another request.
fn is_last(headers: &[httparse::Header<'_>]) -> bool {
    let names_close = |value: &[u8]| {
        let text = std::str::from_utf8(value).unwrap_or("close");
        text.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"))
    };
    values(headers, &UPGRADE).next().is_some() || values(headers, &CONNECTION).any(names_close)
}

/// Returns the values of a header.
fn values<'h>(headers: &'h [httparse::Header<'h>], name: &HeaderName) -> impl Iterator<Item = &'h [u8]> {
    let name = name.clone();
    headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name.as_str())).map(|header| header.value)
}

fn position_after_chunk_size(line: &[u8]) -> Position {
    let size = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
    let size = std::str::from_utf8(size).ok().filter(|size| size.bytes().all(|byte| byte.is_ascii_hexdigit()));
    match size.and_then(|size| u64::from_str_radix(size, HEX_RADIX).ok()) {
        Some(0) => Position::Trailers,
        Some(size) => size.checked_add(2).map_or(Position::Unknown, Position::ChunkData),
        None => Position::Unknown,
    }
}
