//! The endpoint for the burn report: how fast routes use up the error budgets of their objectives.

use std::sync::Arc;

use poem::http::StatusCode;
use poem::web::{Data, Query};
use poem::{Request, Response, handler};
use serde::Deserialize;

use super::api::{AdminState, authenticate_operator};
use super::error::ApiError;
use crate::burn::fleet_burn_report;

/// Format of the report.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReportFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object.
    Json,
    /// A self-contained HTML page.
    Html,
}

/// Query parameters of a report request.
#[derive(Debug, Deserialize)]
struct ReportQuery {
    #[serde(default)]
    format: ReportFormat,
}

/// Returns the report for the whole fleet, collected from all reachable nodes.
#[handler]
pub async fn burn_report(
    state: Data<&Arc<AdminState>>,
    request: &Request,
    Query(query): Query<ReportQuery>,
) -> Result<Response, ApiError> {
    authenticate_operator(&state, request)?;
    let report = fleet_burn_report(&state.node).await;
    let (content_type, body) = match query.format {
        ReportFormat::Text => ("text/plain; charset=utf-8", report.to_text()),
        ReportFormat::Html => ("text/html; charset=utf-8", report.to_html()),
        ReportFormat::Json => {
            let json = report.to_json().map_err(|error| ApiError::new(StatusCode::INTERNAL_SERVER_ERROR, error))?;
            ("application/json", json)
        }
    };
    Ok(Response::builder().content_type(content_type).body(body))
}
