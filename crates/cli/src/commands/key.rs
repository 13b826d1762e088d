//! Plans to grant or withdraw keys.

use fulmartrestle_config::plan::{Intent, IntentChange};

use super::plan::plan_intent;
use crate::CliError;
use crate::args::KeyCommand;
use crate::client::AdminClient;

/// Plans to grant or withdraw a key and prints the plan.
///
/// # Errors
///
/// Returns an error if the key id is invalid, or if the node can't be reached or refuses the request.
pub async fn plan_key_change(client: &AdminClient, command: &KeyCommand, json: bool) -> Result<(), CliError> {
    let (change, why) = match command {
        KeyCommand::Grant(grant) => (IntentChange::GrantKey(grant.tenant.clone()), &grant.why),
        KeyCommand::Withdraw(withdraw) => {
            let key = withdraw
                .key_id
                .parse()
                .map_err(|error: fulmartrestle_core::ParseError| CliError::Input(error.to_string()))?;
            (IntentChange::WithdrawKey(key), &withdraw.why)
        }
    };
    plan_intent(client, &Intent { why: why.clone(), changes: vec![change] }, json).await
}
