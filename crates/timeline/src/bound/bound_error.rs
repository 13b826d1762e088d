//! Why a bound cannot be calculated.

use quick_error::quick_error;

quick_error! {
    /// A deployment file that cannot be used, or a bound that cannot be calculated.
    #[derive(Debug)]
    pub enum BoundError {
        /// The file is invalid; holds the position, the field and what is wrong.
        Document(detail: String) {
            display("{}", detail)
        }
        /// A value is out of range; holds the file, the field, the value and what is expected.
        Value(file: String, field: String, value: String, expected: &'static str) {
            display("{}: {}: expected {}: {}", file, field, expected, value)
        }
        /// No route of the deployment is in the logs; holds its routes.
        NoRoute(routes: String) {
            display("no line about a route of the deployment: {}", routes)
        }
        /// The linear program was not solved; holds the cause.
        Unsolved(cause: String) {
            display("bound: {}", cause)
        }
    }
}
