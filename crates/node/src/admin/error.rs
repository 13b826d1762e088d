//! Errors of the admin API.

use fulmartrestle_api::ErrorAnswer;
use poem::Response;
use poem::error::ResponseError;
use poem::http::StatusCode;

/// An error response to an operator.
#[derive(Debug)]
pub struct ApiError {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Error message, including the invalid value.
    pub error: String,
}

impl ApiError {
    /// Creates an error from a status and a message.
    pub fn new(status: StatusCode, error: impl ToString) -> Self {
        Self { status, error: error.to_string() }
    }
}

impl std::fmt::Display for ApiError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.error)
    }
}

impl std::error::Error for ApiError {}

impl ResponseError for ApiError {
    fn status(&self) -> StatusCode {
        self.status
    }

    fn as_response(&self) -> Response {
        let body = serde_json::to_string(&ErrorAnswer { error: self.error.clone() }).unwrap_or_default();
        Response::builder().status(self.status).content_type("application/json").body(body)
    }
}
