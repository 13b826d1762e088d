//! What a run of the demo is asked for.

use crate::named_enum::named_enum;
use crate::scenario::ScenarioName;

named_enum!(
    /// The deployments of the project's first users, in a small form.
    DeploymentName, "deployment", {
        /// Three travel agencies that share one platform.
        Compagni = "compagni",
        /// Calibration records and certificates.
        Karoo = "karoo",
    }
);

named_enum!(
    /// What stands between callers and targets.
    PolicyName, "policy", {
        /// The project's nodes.
        Full = "full",
        /// What users have without the project: round robin, three tries at every hop, no limits.
        Baseline = "baseline",
    }
);

/// Arguments of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemoArgs {
    /// Length of the load, in seconds.
    pub seconds: u64,
    /// Seed of the arrivals, the clients and the targets.
    pub seed: u64,
    /// The deployment.
    pub deployment: DeploymentName,
    /// What happens during the run.
    pub scenario: ScenarioName,
    /// What stands between callers and targets.
    pub policy: PolicyName,
}

impl Default for DemoArgs {
    /// Ten seconds of `calm` on `compagni` with the project's nodes.
    fn default() -> Self {
        Self {
            seconds: 10,
            seed: 1,
            deployment: DeploymentName::Compagni,
            scenario: ScenarioName::Calm,
            policy: PolicyName::Full,
        }
    }
}
