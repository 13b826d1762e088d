//! The authenticated context header, which replaces the caller's API key behind the entry node.
//!
//! A gate adds a context header to each call that it sends to its target. The target copies the header to its child
//! calls, which it sends to the same node. The header therefore only identifies a row in that node's table of running
//! calls, with an authentication tag that the target can't compute. A target never sees an API key and can't act for
//! another tenant, and nodes share no secret.

use fulmartrestle_core::{CallId, ParseError};

/// Name of the context header.
pub const CONTEXT_HEADER: &str = "fulmartrestle-context";

/// Length of the authentication tag, in bytes. Half of the hash is enough, because a tag is only valid during one
/// call.
const TAG_BYTES: usize = 16;

/// Signs and verifies context headers with a secret that is only valid for the lifetime of the process.
pub struct ContextSigner {
    secret: [u8; blake3::KEY_LEN],
}

impl ContextSigner {
    /// Creates a signer. The secret must be generated randomly at each start.
    pub fn new(secret: [u8; blake3::KEY_LEN]) -> Self {
        Self { secret }
    }

    /// Returns the header value for a running call.
    pub fn sign(&self, call: CallId) -> String {
        format!("{:016x}.{}", call.0, self.tag_hex(call))
    }

    /// Returns the call that a header value identifies.
    ///
    /// # Errors
    ///
    /// Returns [`ParseError`] when the value is malformed or its tag is wrong.
    pub fn verify(&self, value: &str) -> Result<CallId, ParseError> {
        let invalid = || ParseError::not_a("context", "(hidden)");
        let (call, tag) = value.split_once('.').ok_or_else(invalid)?;
        let call = u64::from_str_radix(call, 16).map(CallId).map_err(|_| invalid())?;
        let expected = self.tag(call);
        let mut presented = [0; TAG_BYTES];
        if !decode_hex(tag, &mut presented) {
            return Err(invalid());
        }
        // `blake3::Hash` compares in constant time; the tags are padded to its length.
        if pad_tag(&expected) == pad_tag(&presented) { Ok(call) } else { Err(invalid()) }
    }

    fn tag_hex(&self, call: CallId) -> String {
        self.tag(call).iter().map(|byte| format!("{byte:02x}")).collect()
    }

    fn tag(&self, call: CallId) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.secret, &call.0.to_le_bytes());
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }
}

fn pad_tag(tag: &[u8; TAG_BYTES]) -> blake3::Hash {
    let mut bytes = [0; blake3::OUT_LEN];
    bytes[..TAG_BYTES].copy_from_slice(tag);
    blake3::Hash::from_bytes(bytes)
}

/// Decodes hexadecimal text into `bytes`. Returns whether the text is valid and has exactly that length.
fn decode_hex(text: &str, bytes: &mut [u8]) -> bool {
    if text.len() != bytes.len() * 2 || !text.is_ascii() {
        return false;
    }
    for (byte, digits) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
        let parsed = std::str::from_utf8(digits).ok().and_then(|digits| u8::from_str_radix(digits, 16).ok());
        let Some(parsed) = parsed else { return false };
        *byte = parsed;
    }
    true
}
