//! Framing of heads: a length prefix of four little-endian bytes, followed by the `bincode` encoding.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a head, in bytes. A longer announced length is rejected before a buffer is allocated.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum size of a decoded message, in bytes. The largest message is the outcome of an at-most-once call.
const MAX_MESSAGE_BYTES: usize = 5 << 20;

/// Size of the length prefix of a head, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

quick_error! {
    /// An error in encoding or decoding a head or a message.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HeadError {
        /// The head is longer than [`MAX_HEAD_BYTES`].
        TooLong(bytes: usize) {
            display("head of {} bytes exceeds the limit of {} bytes", bytes, MAX_HEAD_BYTES)
        }
        /// The bytes are not a valid encoding, or the value cannot be encoded.
        Malformed(detail: String) {
            display("malformed head: {}", detail)
        }
    }
}

/// Encodes a message without a length prefix.
///
/// # Errors
///
/// Returns [`HeadError::Malformed`] when `bincode` cannot represent the message.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, HeadError> {
    bincode::serde::encode_to_vec(message, bincode_config()).map_err(|error| HeadError::Malformed(error.to_string()))
}

/// Decodes a message that occupies all of `bytes`.
///
/// # Errors
///
/// Returns [`HeadError::Malformed`] when the bytes are invalid or when trailing bytes remain.
pub fn decode_exact<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, HeadError> {
    let decoded = bincode::serde::borrow_decode_from_slice(bytes, bincode_config());
    let (message, consumed) = decoded.map_err(|error| HeadError::Malformed(error.to_string()))?;
    if consumed != bytes.len() {
        return Err(HeadError::Malformed(format!("{} trailing bytes", bytes.len() - consumed)));
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
    let mut frame = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + body.len());
    frame.put_u32_le(body.len() as u32);
    frame.put_slice(&body);
    Ok(frame.freeze())
}

/// Decodes a head at the front of `buffer` and removes it, or returns `None` while it is incomplete.
///
/// # Errors
///
/// Returns [`HeadError::TooLong`] when the announced length exceeds [`MAX_HEAD_BYTES`], and
/// [`HeadError::Malformed`] when the bytes cannot be decoded.
pub fn decode_head<T: DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<T>, HeadError> {
    if buffer.len() < LENGTH_PREFIX_BYTES {
        return Ok(None);
    }
    let length = (&buffer[..LENGTH_PREFIX_BYTES]).get_u32_le() as usize;
    if length > MAX_HEAD_BYTES {
        return Err(HeadError::TooLong(length));
    }
    if buffer.len() < LENGTH_PREFIX_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_PREFIX_BYTES);
    let body = buffer.split_to(length);
    decode_exact(&body).map(Some)
}

/// Returns the codec configuration, which limits the memory that a decoder allocates for lengths in its input.
fn bincode_config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}
