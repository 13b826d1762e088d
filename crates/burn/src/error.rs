//! Errors of this crate.

use quick_error::quick_error;

quick_error! {
    /// Why a report could not be rendered.
    #[derive(Debug)]
    pub enum BurnError {
        /// The report could not be written as JSON.
        Json(source: serde_json::Error) {
            display("the burn report can't be written as JSON: {source}")
            source(source)
            from()
        }
    }
}
