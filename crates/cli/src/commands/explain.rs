//! Explains decisions about requests.

use fulmartrestle_api::RequestDecision;

use super::print_json;
use crate::CliError;
use crate::args::ExplainArgs;
use crate::client::AdminClient;
use crate::print_line::print_line;

/// Prints the decisions about one request, or the latest ones.
///
/// # Errors
///
/// Returns what the node refuses, also when its explanations are off.
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
        print_line!("This node knows nothing of that request; ask the node that it entered by.");
    }
    for decision in decisions {
        print_line!("{} {} {}", decision.at_ms, decision.request_id, decision.text);
    }
    Ok(())
}
