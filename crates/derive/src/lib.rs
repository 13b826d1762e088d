//! Attribute macros that expand to common sets of derives.
//!
//! Messages, table rows and small values derive one of three fixed sets of traits. One attribute per set
//! keeps the sets consistent across crates. Crates that use [`macro@value`] or [`macro@record`] must
//! depend on `serde`.

use proc_macro::TokenStream;

/// Derives the traits of small plain values, which are copied, compared, ordered, hashed and serialized.
#[proc_macro_attribute]
pub fn value(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}

/// Derives the traits of messages and stored rows, which are cloned, compared and serialized.
#[proc_macro_attribute]
pub fn record(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize", item)
}

/// Derives the traits of results that stay within one process, which are cloned and compared.
#[proc_macro_attribute]
pub fn local(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Clone, Debug, PartialEq", item)
}

/// Prepends `#[derive(...)]` to an item. If `derives` does not parse, which is a bug in this crate, the
/// macro expands to a compile error at the place of use.
fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let attribute: TokenStream = match format!("#[derive({derives})]").parse() {
        Ok(tokens) => tokens,
        Err(_) => return "compile_error!(\"derive set does not parse\");".parse().unwrap_or_default(),
    };
    let mut output = attribute;
    output.extend(item);
    output
}
