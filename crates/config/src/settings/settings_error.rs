//! Errors of loading a node's settings.

use quick_error::quick_error;

use crate::jsonc::DocumentError;

quick_error! {
    /// An error of loading settings.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file can't be read.
        Read(path: String, cause: std::io::Error) {
            display("can't read settings {path}: {cause}")
            source(cause)
        }
        /// The text is not a valid settings document. The cause states the position, field and value.
        Document(cause: DocumentError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// A field's value has the right type but is invalid: file, field, value and reason.
        Value(file: String, field: String, value: String, reason: String) {
            display("{file}: field `{field}`: {reason}, found `{value}`")
        }
    }
}
