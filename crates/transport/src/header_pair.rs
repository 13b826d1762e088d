//! One HTTP header as it travels in a head.

use fulmartrestle_derive::record;
use http::{HeaderMap, HeaderName, HeaderValue};

/// One HTTP header. Values are bytes because HTTP allows more than UTF-8 there.
#[record]
#[derive(Eq)]
pub struct HeaderPair {
    /// The header's name, in lower case.
    pub name: String,
    /// The header's value.
    pub value: Vec<u8>,
}

/// Headers that belong to one connection and are never forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "proxy-connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authorization",
    "proxy-authenticate",
];

/// Copies the headers that may be forwarded.
///
/// Headers named by `Connection` are left out like the fixed hop-by-hop set.
pub fn headers_to_pairs(headers: &HeaderMap) -> Vec<HeaderPair> {
    let named = connection_named(headers);
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()) && !named.iter().any(|other| other == name.as_str()));
    forwarded
        .map(|(name, value)| HeaderPair { name: name.as_str().to_owned(), value: value.as_bytes().to_vec() })
        .collect()
}

/// Builds a header map; pairs that are not valid HTTP are left out.
pub fn headers_from_pairs(pairs: &[HeaderPair]) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(pairs.len());
    for pair in pairs {
        let name = HeaderName::from_bytes(pair.name.as_bytes());
        let value = HeaderValue::from_bytes(&pair.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

/// Returns the header names that the `Connection` header lists.
fn connection_named(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
