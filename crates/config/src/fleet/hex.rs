//! Hexadecimal text, and newtypes over bytes that use it.

/// Writes bytes as lower-case hexadecimal digits.
pub(crate) fn write_hex(formatter: &mut std::fmt::Formatter<'_>, bytes: &[u8]) -> std::fmt::Result {
    bytes.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
}

/// Parses hexadecimal digits of exactly `N` bytes. Returns `None` for any other text.
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

/// Defines a newtype over bytes. It is serialized as hexadecimal digits in text formats and as plain bytes in
/// binary ones.
macro_rules! bytes_newtype {
    ($(#[$doc:meta])* $name:ident, $length:literal, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub [u8; $length]);

        impl ::std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                $crate::fleet::write_hex(formatter, &self.0)
            }
        }

        impl ::std::fmt::Debug for $name {
            fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                write!(formatter, concat!(stringify!($name), "({})"), self)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = ::fulmartrestle_core::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let bytes = $crate::fleet::parse_hex(text);
                bytes.map(Self).ok_or_else(|| ::fulmartrestle_core::ParseError::not_a($what, text))
            }
        }

        impl ::serde::Serialize for $name {
            fn serialize<S: ::serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() { serializer.collect_str(self) } else { self.0.serialize(serializer) }
            }
        }

        impl<'de> ::serde::Deserialize<'de> for $name {
            fn deserialize<D: ::serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if !deserializer.is_human_readable() {
                    return <[u8; $length]>::deserialize(deserializer).map(Self);
                }
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(::serde::de::Error::custom)
            }
        }
    };
}

pub(crate) use bytes_newtype;
