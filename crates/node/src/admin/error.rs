//! Errors of the operators' API.

use poem::http::StatusCode;
use poem::{IntoResponse, Response};
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

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let status = self.status;
        let body = serde_json::to_string(&self).unwrap_or_default();
        Response::builder().status(status).content_type("application/json").body(body)
    }
}
