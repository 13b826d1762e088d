//! Errors of the operators' API.

use poem::Response;
use poem::error::ResponseError;
use poem::http::StatusCode;
use serde::Serialize;

/// An error as operators see it.
#[derive(Debug, Serialize)]
pub struct ApiError {
    /// HTTP status, not part of the body.
    #[serde(skip)]
    pub status: StatusCode,
    /// What is wrong, with the offending value.
    pub error: String,
}

impl ApiError {
    /// Returns an error with a status.
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
        let body = serde_json::to_string(self).unwrap_or_default();
        Response::builder().status(self.status).content_type("application/json").body(body)
    }
}
