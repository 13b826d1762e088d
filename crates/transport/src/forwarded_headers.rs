//! The headers of a request or response that a node forwards.

use std::fmt;
use std::ops::Deref;

use http::{HeaderMap, HeaderName, HeaderValue};
use serde::de::{Deserializer, Error, SeqAccess, Visitor};
use serde::ser::{SerializeSeq, Serializer};
use serde::{Deserialize, Serialize};

use crate::header_pair::end_to_end_headers;

/// End-to-end headers. They are encoded like a list of [`HeaderPair`](crate::HeaderPair), without a copy of each name and
/// value. Names and values that HTTP does not allow are left out when they are decoded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ForwardedHeaders(HeaderMap);

impl ForwardedHeaders {
    /// Keeps the end-to-end headers of a message for whose names `is_forwarded` holds. Values are shared, not copied.
    pub fn new(headers: &HeaderMap, is_forwarded: impl Fn(&HeaderName) -> bool) -> Self {
        let mut forwarded = HeaderMap::with_capacity(headers.len());
        for (name, value) in end_to_end_headers(headers).filter(|(name, _)| is_forwarded(name)) {
            forwarded.append(name.clone(), value.clone());
        }
        Self(forwarded)
    }

    /// Sets a header.
    pub fn insert(&mut self, name: HeaderName, value: HeaderValue) {
        self.0.insert(name, value);
    }

    /// Returns the headers as a map.
    pub fn into_map(self) -> HeaderMap {
        self.0
    }
}

impl Deref for ForwardedHeaders {
    type Target = HeaderMap;

    fn deref(&self) -> &HeaderMap {
        &self.0
    }
}

impl Serialize for ForwardedHeaders {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut pairs = serializer.serialize_seq(Some(self.0.len()))?;
        for (name, value) in &self.0 {
            pairs.serialize_element(&(name.as_str(), serde_bytes::Bytes::new(value.as_bytes())))?;
        }
        pairs.end()
    }
}

impl<'de> Deserialize<'de> for ForwardedHeaders {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(PairsVisitor)
    }
}

struct PairsVisitor;

impl<'de> Visitor<'de> for PairsVisitor {
    type Value = ForwardedHeaders;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list of headers")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut pairs: A) -> Result<ForwardedHeaders, A::Error> {
        let mut headers = HeaderMap::new();
        while let Some((name, value)) = pairs.next_element::<(DecodedName, DecodedValue)>()? {
            if let (Some(name), Some(value)) = (name.0, value.0) {
                headers.try_append(name, value).map_err(A::Error::custom)?;
            }
        }
        Ok(ForwardedHeaders(headers))
    }
}

/// A name; `None` if HTTP does not allow it.
struct DecodedName(Option<HeaderName>);

impl<'de> Deserialize<'de> for DecodedName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct NameVisitor;

        impl Visitor<'_> for NameVisitor {
            type Value = DecodedName;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("the name of a header")
            }

            fn visit_str<E>(self, name: &str) -> Result<DecodedName, E> {
                Ok(DecodedName(HeaderName::from_bytes(name.as_bytes()).ok()))
            }
        }

        deserializer.deserialize_str(NameVisitor)
    }
}

/// A value; `None` if HTTP does not allow it.
struct DecodedValue(Option<HeaderValue>);

impl<'de> Deserialize<'de> for DecodedValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ValueVisitor;

        impl Visitor<'_> for ValueVisitor {
            type Value = DecodedValue;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("the value of a header")
            }

            fn visit_bytes<E>(self, value: &[u8]) -> Result<DecodedValue, E> {
                Ok(DecodedValue(HeaderValue::from_bytes(value).ok()))
            }
        }

        deserializer.deserialize_bytes(ValueVisitor)
    }
}
