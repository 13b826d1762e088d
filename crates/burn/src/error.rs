//! Errors of rendering a burn report.

use quick_error::quick_error;

quick_error! {
    /// Error of rendering a report.
    #[derive(Debug)]
    pub enum BurnError {
        /// The report could not be serialized as JSON.
        Json(source: serde_json::Error) {
            display("cannot serialize the burn report as JSON: {source}")
            source(source)
            from()
        }
    }
}
