//! Arguments of a demo run.

use crate::named_enum::named_enum;
use crate::scenario::ScenarioName;

named_enum!(
    /// Deployments of the project's first users, scaled down to fit one process.
    DeploymentName, "deployment", {
        /// Platform that three travel agencies share.
        Compagni = "compagni",
        /// Platform of calibration records and certificates.
        Karoo = "karoo",
    }
);

named_enum!(
    /// How calls get from callers to targets.
    PolicyName, "policy", {
        /// Through the project's nodes.
        Full = "full",
        /// Without the project: round robin, three attempts at every hop, no limits.
        Baseline = "baseline",
    }
);

/// Arguments of one demo run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemoArgs {
    /// Duration of the load in seconds.
    pub seconds: u64,
    /// Random seed of the arrivals, the clients and the targets.
    pub seed: u64,
    /// Deployment to start.
    pub deployment: DeploymentName,
    /// Scenario of faults and load changes.
    pub scenario: ScenarioName,
    /// How calls get from callers to targets.
    pub policy: PolicyName,
}

impl Default for DemoArgs {
    /// Returns the arguments of a run of 10 s of scenario `calm` on `compagni` with the project's nodes.
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
