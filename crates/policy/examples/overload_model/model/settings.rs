//! Settings of one run of the model.

use fulmartrestle_core::TimeUs;

use super::deployment::Deployment;

/// Policy that the nodes apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Round robin, three tries at every hop, no limits and no cancellation.
    Baseline,
    /// The policy of this crate.
    Full,
}

/// A deliberate defect in the policy, which shows that the invariant checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Each hop gets a full retry allowance of its own.
    AllowancePerHop,
    /// Gates treat protected calls as browsing.
    ClassIgnored,
    /// Every refusal has the outcome "not run".
    AlwaysNotRun,
    /// Calls that must run at most once are retried like others.
    AtMostOnceIgnored,
    /// Late responses are accepted as responses to the hop's present attempt.
    LateResponsesAccepted,
    /// The departure of a target is not published, and its gate continues to admit calls.
    LeavingIgnored,
    /// A leaving node stops without waiting for its running calls.
    StopWithoutDraining,
    /// Marks of crash requests are ignored.
    CrashMarksIgnored,
}

/// A fault of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The target's process crashes and restarts after a while; its node keeps running.
    TargetCrash { node: usize },
    /// The VM is lost and replaced by a new one after a while.
    VmLoss { node: usize },
    /// The node and its target pause for a while.
    Pause { node: usize, for_us: u64 },
    /// The connection between two nodes drops all traffic until it is replaced.
    SilentConnection { from: usize, to: usize },
    /// Responses sent within `for_us` microseconds are delayed by `by_us` microseconds.
    LateResponses { by_us: u64, for_us: u64 },
    /// A client sends a request that crashes each target that runs it.
    CrashRequest,
    /// The target leaves, and its node stops when no call is running.
    Leave { node: usize },
}

/// A period with constant demand.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Start of the phase.
    pub from: TimeUs,
    /// New requests per second as a multiple of the deepest service's capacity.
    pub demand: f64,
    /// Factor of the deepest service's service time.
    pub slowdown: f64,
}

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct ModelSettings {
    /// The fleet.
    pub deployment: Deployment,
    /// Policy that the nodes apply.
    pub mode: Mode,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Demand over time.
    pub phases: Vec<Phase>,
    /// End of the run.
    pub end: TimeUs,
    /// Index of the tenant that sends ten times its share, if any.
    pub greedy_tenant: Option<usize>,
    /// Whether a target's slot stays occupied while its call waits for another service.
    pub hold_slots_during_child_calls: bool,
    /// Maximum number of times that a client sends one request.
    pub max_client_sends: u32,
    /// Whether calls of protected routes must run at most once.
    pub at_most_once: bool,
    /// Faults with the times at which they start.
    pub faults: Vec<(TimeUs, Fault)>,
    /// Deliberate defect in the policy, if any.
    pub defect: Option<Defect>,
}

impl ModelSettings {
    /// Returns the settings of a run without faults.
    pub fn new(deployment: Deployment, mode: Mode, seed: u64, phases: Vec<Phase>, end: TimeUs) -> Self {
        Self {
            deployment,
            mode,
            seed,
            phases,
            end,
            greedy_tenant: None,
            hold_slots_during_child_calls: true,
            max_client_sends: 5,
            at_most_once: false,
            faults: Vec::new(),
            defect: None,
        }
    }
}
