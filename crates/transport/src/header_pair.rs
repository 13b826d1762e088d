//! HTTP headers in the form in which a head carries them.

use fulmartrestle_derive::record;
use http::{HeaderMap, HeaderName, HeaderValue};

/// One HTTP header. The value consists of bytes, because HTTP does not require it to be UTF-8.
#[record]
#[derive(Eq)]
pub struct HeaderPair {
    /// Name of the header, in lower case.
    pub name: String,
    /// Value of the header, not validated.
    pub value: Vec<u8>,
}

/// Hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1).
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

/// Returns the end-to-end headers: all but the hop-by-hop headers and those that `Connection` lists.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    let connection_names = connection_header_names(headers);
    headers.iter().filter(move |(name, _)| {
        !HOP_BY_HOP.contains(&name.as_str()) && !connection_names.iter().any(|listed| listed == name.as_str())
    })
}

/// Returns the end-to-end headers.
pub fn headers_to_pairs(headers: &HeaderMap) -> Vec<HeaderPair> {
    end_to_end_headers(headers)
        .map(|(name, value)| HeaderPair { name: name.as_str().to_owned(), value: value.as_bytes().to_vec() })
        .collect()
}

/// Builds a header map. Pairs with an invalid name or value are left out.
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

/// Returns the header names that the `Connection` header lists, in lower case.
fn connection_header_names(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
