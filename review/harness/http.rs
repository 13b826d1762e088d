//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::io::{BufRead, Read, Result};

/// A request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has arrived as a whole.
    pub complete: bool,
}

impl Message {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

fn read_line(reader: &mut impl BufRead) -> Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 || line.last() != Some(&b'\n') {
        return Ok(None);
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

/// Reads the head of a message; `None` if the connection ends before.
pub fn read_head(reader: &mut impl BufRead) -> Result<Option<Message>> {
    let Some(start) = read_line(reader)? else { return Ok(None) };
    let mut message = Message { start, ..Message::default() };
    loop {
        let Some(line) = read_line(reader)? else { return Ok(None) };
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a message whose head was read. A response without a length ends with its connection.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, is_response: bool) -> Result<()> {
    if message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let Some(line) = read_line(reader)? else { return Ok(()) };
            let Ok(size) = usize::from_str_radix(line.split(';').next().unwrap_or_default(), 16) else { return Ok(()) };
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk);
            if read_line(reader)?.is_none() {
                return Ok(());
            }
            if size == 0 {
                message.complete = true;
                return Ok(());
            }
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse::<u64>().ok());
    if length.is_none() && is_response {
        reader.read_to_end(&mut message.body)?;
        message.complete = true;
        return Ok(());
    }
    let length = length.unwrap_or(0);
    reader.take(length).read_to_end(&mut message.body)?;
    message.complete = message.body.len() as u64 == length;
    Ok(())
}
