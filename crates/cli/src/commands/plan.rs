//! Planning, confirmation and the history of plans.

use std::path::Path;

use fulmartrestle_api::{ConfirmAnswer, PlanAnswer};
use fulmartrestle_config::plan::{Intent, PlanId};
use fulmartrestle_config::replica::{CertificationResult, HistoryEntry};

use super::print_json;
use crate::CliError;
use crate::args::PlanArgs;
use crate::client::AdminClient;
use crate::print_line::print_line;

/// Parts per million in one percent.
const PPM_PER_PERCENT: f64 = 10_000.0;

/// Plans the intent in a file and prints the plan.
///
/// # Errors
///
/// Returns an error if the file can't be read or parsed, with the location in the file, or if the node
/// can't be reached or refuses the request.
pub async fn plan_file(client: &AdminClient, args: &PlanArgs, json: bool) -> Result<(), CliError> {
    let name = args.file.display().to_string();
    let text = std::fs::read_to_string(&args.file).map_err(|cause| CliError::File(name.clone(), cause))?;
    // Parse the intent before sending it, so that errors name the operator's file.
    Intent::parse(&name, &text).map_err(|error| CliError::Input(error.to_string()))?;
    post_intent(client, text, args.diff, json).await
}

/// Plans an intent that was built from command-line arguments and prints the plan.
///
/// # Errors
///
/// Returns an error if the node can't be reached or refuses the request.
pub async fn plan_intent(client: &AdminClient, intent: &Intent, json: bool) -> Result<(), CliError> {
    let text = serde_json::to_string(intent).map_err(|error| CliError::Input(error.to_string()))?;
    post_intent(client, text, false, json).await
}

async fn post_intent(client: &AdminClient, intent: String, diff: bool, json: bool) -> Result<(), CliError> {
    let answer: PlanAnswer = client.post("/v1/plans", intent).await?;
    if json {
        return print_json(&answer);
    }
    print_plan(&answer, diff);
    Ok(())
}

/// Confirms a plan, given its id or a file with its document, and prints the result.
///
/// # Errors
///
/// Returns [`CliError::NotCommitted`] with the reason if the plan did not commit, for example the
/// conflicting plan. Returns other errors if the file can't be read, or if the node can't be reached or
/// refuses the request.
pub async fn confirm(client: &AdminClient, plan: &str, json: bool) -> Result<(), CliError> {
    let answer: ConfirmAnswer = match plan.parse::<PlanId>() {
        Ok(id) => client.post(&format!("/v1/plans/{id}/confirm"), String::new()).await?,
        Err(_) => client.post("/v1/plans/confirm", read_plan_document(Path::new(plan))?).await?,
    };
    if json {
        print_json(&answer)?;
    } else {
        print_line!("plan {} {}", answer.plan, answer.result);
    }
    match answer.result {
        CertificationResult::Committed { .. } => Ok(()),
        result => Err(CliError::NotCommitted(format!("plan {} did not take effect: {result}", answer.plan))),
    }
}

/// Reads a plan document from a file, which contains either the plan alone or the whole output of
/// `plan --json`.
fn read_plan_document(file: &Path) -> Result<String, CliError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|cause| CliError::File(name, cause))?;
    match serde_json::from_str::<PlanAnswer>(&text) {
        Ok(answer) => serde_json::to_string(&answer.plan).map_err(|error| CliError::Input(error.to_string())),
        Err(_) => Ok(text),
    }
}

/// Prints the latest plans with a result, newest first.
///
/// # Errors
///
/// Returns an error if the node can't be reached or refuses the request.
pub async fn print_history(client: &AdminClient, json: bool) -> Result<(), CliError> {
    let entries: Vec<HistoryEntry> = client.get("/v1/history").await?;
    if json {
        return print_json(&entries);
    }
    for entry in entries {
        print_line!("{}  {}  {}  {:?}", entry.plan, entry.who, entry.result, entry.why);
    }
    Ok(())
}

fn print_plan(answer: &PlanAnswer, diff: bool) {
    let plan = &answer.plan;
    print_line!("plan     {}", plan.id);
    print_line!("by       {} on version {}: {}", plan.who, plan.base, plan.why);
    for row in &answer.diff {
        print_line!("changes  {}", row.row);
        if diff {
            print_line!("  - {}", row.before.as_deref().unwrap_or("(none)"));
            print_line!("  + {}", row.after.as_deref().unwrap_or("(none)"));
        }
    }
    let affects = &plan.affects;
    print_list("tenants", &affects.tenants);
    print_list("routes", &affects.routes);
    print_list("targets", &affects.targets);
    let percent = affects.traffic_share.0 as f64 / PPM_PER_PERCENT;
    print_line!("traffic  {percent:.1} % of current traffic is affected");
    for change in &plan.writes {
        if let fulmartrestle_config::plan::Change::PutStop(stop) = change {
            print_line!("stop     {} at {} ({})", stop.stop, stop.local_time, stop.utc_time());
        }
    }
    for warning in &plan.warnings {
        print_line!("warning  {warning}");
    }
    for key in &answer.granted {
        print_line!("key      {} for {}; the secret is shown only once: {}", key.key_id, key.tenant, key.secret);
    }
    print_line!("The plan has no effect until it is confirmed: fulmartrestle confirm {}", plan.id);
}

fn print_list(name: &str, items: &[impl std::fmt::Display]) {
    if items.is_empty() {
        return;
    }
    let items: Vec<_> = items.iter().map(ToString::to_string).collect();
    print_line!("affects  {name}: {}", items.join(", "));
}
