//! Prints the decisions about requests.

use fulmartrestle_api::RequestDecision;

use super::print_json;
use crate::CliError;
use crate::args::ExplainArgs;
use crate::client::AdminClient;
use crate::print_line::print_line;

/// Prints the decisions about one request, or all latest decisions.
///
/// # Errors
///
/// Returns an error if the node can't be reached or refuses the request, also if its `explain` setting
/// is off.
pub async fn print_decisions(client: &AdminClient, args: &ExplainArgs, json: bool) -> Result<(), CliError> {
    let path = match &args.request_id {
        Some(request_id) => format!("/v1/explain/{request_id}"),
        None => "/v1/explain".to_owned(),
    };
    let decisions: Vec<RequestDecision> = client.get(&path).await?;
    if json {
        return print_json(&decisions);
    }
    if decisions.is_empty() {
        print_line!("This node has no decisions about that request. Query the node that received it from the caller.");
    }
    for decision in decisions {
        print_line!("{} {} {}", decision.at_ms, decision.request_id, decision.text);
    }
    Ok(())
}
