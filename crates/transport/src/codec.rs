//! Framing of heads: a length of four bytes, little endian, then the `bincode` head.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest head, in bytes. A peer that announces more is cut off before anything is allocated.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Longest message, in bytes: the outcome of a call that runs at most once.
const MAX_MESSAGE_BYTES: usize = 5 << 20;

/// Length prefix of a head, in bytes.
const PREFIX_BYTES: usize = 4;

quick_error! {
    /// A head that can't be read or written.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HeadError {
        /// The head is longer than [`MAX_HEAD_BYTES`].
        TooLong(bytes: usize) {
            display("head of {} bytes is longer than {}", bytes, MAX_HEAD_BYTES)
        }
        /// The bytes are not a head.
        Malformed(detail: String) {
            display("malformed head: {}", detail)
        }
    }
}

/// Encodes a message without a prefix.
///
/// # Errors
///
/// Returns [`HeadError::Malformed`] when the message can't be represented.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, HeadError> {
    bincode::serde::encode_to_vec(message, config()).map_err(|error| HeadError::Malformed(error.to_string()))
}

/// Decodes a message that fills `bytes` exactly.
///
/// # Errors
///
/// Returns [`HeadError::Malformed`] for anything else, also when bytes are left over.
pub fn decode_exact<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, HeadError> {
    let decoded = bincode::serde::decode_from_slice(bytes, config());
    let (message, used) = decoded.map_err(|error| HeadError::Malformed(error.to_string()))?;
    if used != bytes.len() {
        return Err(HeadError::Malformed(format!("{} bytes left over", bytes.len() - used)));
    }
    Ok(message)
}

/// Encodes a head with its length prefix.
///
/// # Errors
///
/// Returns [`HeadError::TooLong`] when the head is longer than [`MAX_HEAD_BYTES`].
pub fn encode_head(head: &impl Serialize) -> Result<Bytes, HeadError> {
    let body = encode(head)?;
    if body.len() > MAX_HEAD_BYTES {
        return Err(HeadError::TooLong(body.len()));
    }
    let mut frame = BytesMut::with_capacity(PREFIX_BYTES + body.len());
    frame.put_u32_le(body.len() as u32);
    frame.put_slice(&body);
    Ok(frame.freeze())
}

/// Takes a whole head off the front of `buffer`, or returns `None` while bytes are missing.
///
/// # Errors
///
/// Returns an error when the announced length is too long or the bytes are not a head.
pub fn decode_head<T: DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<T>, HeadError> {
    if buffer.len() < PREFIX_BYTES {
        return Ok(None);
    }
    let length = (&buffer[..PREFIX_BYTES]).get_u32_le() as usize;
    if length > MAX_HEAD_BYTES {
        return Err(HeadError::TooLong(length));
    }
    if buffer.len() < PREFIX_BYTES + length {
        return Ok(None);
    }
    buffer.advance(PREFIX_BYTES);
    let body = buffer.split_to(length);
    decode_exact(&body).map(Some)
}

/// Bounds what a decoder may allocate, whatever lengths the bytes claim.
fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}
