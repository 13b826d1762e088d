//! Plans graceful stops.

use fulmartrestle_config::fleet::StopScope;
use fulmartrestle_config::plan::{Intent, IntentChange, StopIntent};
use fulmartrestle_core::ParseError;

use super::plan::plan_intent;
use crate::CliError;
use crate::args::StopArgs;
use crate::client::AdminClient;

/// Plans a graceful stop and prints the plan.
///
/// # Errors
///
/// Returns an error if an argument is invalid, or if the node can't be reached or refuses the request. The
/// node rejects a local time that is skipped or repeated when the clocks change; its error states the two
/// times that the local time could mean.
pub async fn plan_stop(client: &AdminClient, args: &StopArgs, json: bool) -> Result<(), CliError> {
    let stop = StopIntent {
        stop: args.name.parse().map_err(input_error)?,
        scope: stop_scope(args)?,
        local_time: args.at.clone(),
        time_zone: args.time_zone.clone(),
    };
    let intent = Intent { why: args.why.clone(), changes: vec![IntentChange::PlanStop(stop)] };
    plan_intent(client, &intent, json).await
}

fn stop_scope(args: &StopArgs) -> Result<StopScope, CliError> {
    match (&args.zone, &args.service, args.target) {
        (Some(zone), None, None) => Ok(StopScope::Zone(zone.parse().map_err(input_error)?)),
        (None, Some(service), None) => Ok(StopScope::Service(service.parse().map_err(input_error)?)),
        (None, None, Some(target)) => Ok(StopScope::Target(target)),
        _ => Err(CliError::Input("expected exactly one of --zone, --service and --target".to_owned())),
    }
}

fn input_error(error: ParseError) -> CliError {
    CliError::Input(error.to_string())
}
