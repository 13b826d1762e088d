//! Payloads as hexadecimal text, so that JSON carries any bytes and stays readable with a plain HTTP client.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

const RADIX: u32 = 16;

/// Bytes that are written as hexadecimal text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HexBytes(pub(crate) Vec<u8>);

impl HexBytes {
    fn encode(&self) -> String {
        let digit = |nibble: u8| char::from_digit(u32::from(nibble), RADIX).unwrap_or_default();
        self.0.iter().flat_map(|byte| [digit(byte >> 4), digit(byte & 0xf)]).collect()
    }

    fn decode(text: &str) -> Option<Self> {
        let digit = |byte: u8| char::from(byte).to_digit(RADIX);
        let (pairs, rest) = text.as_bytes().as_chunks::<2>();
        if !rest.is_empty() {
            return None;
        }
        let byte = |pair: &[u8; 2]| Some((digit(pair[0])? << 4 | digit(pair[1])?) as u8);
        pairs.iter().map(byte).collect::<Option<_>>().map(Self)
    }
}

impl Serialize for HexBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.encode())
    }
}

impl<'de> Deserialize<'de> for HexBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::decode(&text).ok_or_else(|| D::Error::custom(format!("not hexadecimal bytes: {text:?}")))
    }
}
