//! Bytes as hexadecimal text.

/// Writes bytes as lower-case hexadecimal digits.
pub(crate) fn write_hex(formatter: &mut std::fmt::Formatter<'_>, bytes: &[u8]) -> std::fmt::Result {
    bytes.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
}

/// Reads exactly `N` bytes of hexadecimal digits, or returns `None`.
pub(crate) fn parse_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    let digits = text.as_bytes();
    if digits.len() != 2 * N {
        return None;
    }
    let mut bytes = [0; N];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        let high = char::from(pair[0]).to_digit(16)?;
        let low = char::from(pair[1]).to_digit(16)?;
        *byte = u8::try_from(high << 4 | low).ok()?;
    }
    Some(bytes)
}
