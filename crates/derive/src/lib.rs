//! Attributes that stand for the project's common sets of derives.
//!
//! Every message, table row and small value of the project derives one of three fixed sets. An
//! attribute per set keeps them equal everywhere. Crates that use [`macro@value`] or
//! [`macro@record`] must depend on `serde`.

use proc_macro::TokenStream;

/// Derives for small plain values: copied, compared, ordered, hashed and serialized.
#[proc_macro_attribute]
pub fn value(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}

/// Derives for messages and stored rows: cloned, compared and serialized.
#[proc_macro_attribute]
pub fn record(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize", item)
}

/// Derives for results that stay inside one process: cloned and compared.
#[proc_macro_attribute]
pub fn local(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Clone, Debug, PartialEq", item)
}

/// Prepends `#[derive(...)]` to an item. A failure to parse the fixed text is a bug of this crate,
/// reported as a compile error at the place of use.
fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let attribute: TokenStream = match format!("#[derive({derives})]").parse() {
        Ok(tokens) => tokens,
        Err(_) => return "compile_error!(\"derive set does not parse\");".parse().unwrap_or_default(),
    };
    let mut output = attribute;
    output.extend(item);
    output
}
