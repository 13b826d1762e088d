//! Errors of a demo run.

use quick_error::quick_error;

quick_error! {
    /// Error that prevents a demo run. A run that violates an invariant is not an error; its report lists
    /// the violations.
    #[derive(Debug)]
    pub enum DemoError {
        /// A socket on the loopback address could not be opened.
        Io(error: std::io::Error) {
            display("demo: {error}")
            source(error)
            from()
        }
        /// The fleet could not be started or configured.
        Fleet(reason: String) {
            display("demo: {reason}")
        }
        /// An argument is out of range; the text states the allowed range.
        InvalidArgument(reason: String) {
            display("demo: {reason}")
        }
    }
}
