//! Why a run of the demo could not be made.

use quick_error::quick_error;

quick_error! {
    /// Why a run of the demo could not be made. A run that violates an invariant is no error: its
    /// report says so.
    #[derive(Debug)]
    pub enum DemoError {
        /// A socket could not be opened on the loopback address.
        Io(error: std::io::Error) {
            display("demo: {error}")
            source(error)
            from()
        }
        /// The fleet did not do what it was asked for.
        Fleet(reason: String) {
            display("demo: {reason}")
        }
        /// An argument is out of range; the text names it.
        InvalidArgument(reason: String) {
            display("demo: {reason}")
        }
    }
}
