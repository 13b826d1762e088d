//! The authenticated context header that stands in for the caller's key.
//!
//! A gate gives its target a context with each call. The target presents it to its own node with its
//! child calls. Both are the same process, so the header only names a row of that node's table of
//! running calls, with a tag that the target can't compute. A target can neither see a key nor
//! speak for another tenant, and no secret is shared between nodes.

use fulmartrestle_core::{CallId, ParseError};

/// Name of the context header.
pub const CONTEXT_HEADER: &str = "fulmartrestle-context";

/// Length of the tag, in bytes. Half of the hash suffices against guessing during one call.
const TAG_BYTES: usize = 16;

/// Makes and checks context headers with a secret that lives as long as the process.
pub struct ContextSigner {
    secret: [u8; blake3::KEY_LEN],
}

impl ContextSigner {
    /// Returns a signer with the given secret, which must be drawn at random at each start.
    pub fn new(secret: [u8; blake3::KEY_LEN]) -> Self {
        Self { secret }
    }

    /// Returns the header's value for a running call.
    pub fn seal(&self, call: CallId) -> String {
        format!("{:016x}.{}", call.0, self.tag_hex(call))
    }

    /// Returns the call that a header's value names.
    ///
    /// # Errors
    ///
    /// Returns [`ParseError`] when the value is malformed or its tag is wrong.
    pub fn open(&self, value: &str) -> Result<CallId, ParseError> {
        let invalid = || ParseError::not_a("context", "(hidden)");
        let (call, tag) = value.split_once('.').ok_or_else(invalid)?;
        let call = u64::from_str_radix(call, 16).map(CallId).map_err(|_| invalid())?;
        let expected = self.tag(call);
        let mut given = [0; TAG_BYTES];
        if !decode_hex(tag, &mut given) {
            return Err(invalid());
        }
        // `blake3::Hash` compares in constant time; the tags are padded to its length.
        if padded(&expected) == padded(&given) { Ok(call) } else { Err(invalid()) }
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

fn padded(tag: &[u8; TAG_BYTES]) -> blake3::Hash {
    let mut bytes = [0; blake3::OUT_LEN];
    bytes[..TAG_BYTES].copy_from_slice(tag);
    blake3::Hash::from_bytes(bytes)
}

/// Fills `bytes` from hexadecimal text; tells whether the text was exactly that long and valid.
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
