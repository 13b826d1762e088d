//! What one run of the model does.

use fulmartrestle_core::TimeUs;

use super::deployment::Deployment;

/// Which decisions the nodes take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Round robin, three tries at every hop, no limits and no cancellation.
    Baseline,
    /// The decisions of this crate.
    Full,
}

/// A deliberate fault in the decisions, to show that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Each hop has a whole allowance of its own.
    AllowancePerHop,
    /// Gates take protected calls for browsing.
    ClassIgnored,
    /// Every refusal says "not run".
    AlwaysNotRun,
    /// Calls that must run at most once are retried like others.
    AtMostOnceIgnored,
    /// Late answers are given to the hop's present attempt.
    LateAnswersTaken,
    /// Tables never hear that a target leaves, and its gate goes on admitting.
    LeavingIgnored,
    /// A leaving node stops without waiting for its running calls.
    StopAtOnce,
    /// Marks of crash requests are ignored.
    CrashMarksIgnored,
}

/// Something that happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The target's process dies and comes back after a while; its node stays.
    TargetCrash { node: usize },
    /// The VM is gone and comes back empty after a while.
    VmLoss { node: usize },
    /// The node and its target stand still for a while.
    Pause { node: usize, for_us: u64 },
    /// The connection between two nodes swallows everything until it is replaced.
    SilentConnection { from: usize, to: usize },
    /// Answers on their way take this much longer for a while.
    LateAnswers { by_us: u64, for_us: u64 },
    /// A request is sent that crashes each target that runs it.
    CrashRequest,
    /// The target leaves and its node stops when nothing runs any more.
    Leave { node: usize },
}

/// A stretch of time with a constant demand.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Start of the phase.
    pub from: TimeUs,
    /// New requests per second as a multiple of the deepest service's capacity.
    pub demand: f64,
    /// Factor of the deepest service's work time.
    pub slowdown: f64,
}

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct ModelSettings {
    /// The fleet.
    pub deployment: Deployment,
    /// Which decisions are taken.
    pub mode: Mode,
    /// Seed of all random draws.
    pub seed: u64,
    /// The demand over time.
    pub phases: Vec<Phase>,
    /// End of the run.
    pub end: TimeUs,
    /// Tenant that sends ten times its share, if any.
    pub greedy_tenant: Option<usize>,
    /// Whether a target's slot stays occupied while its call waits for another service.
    pub slots_held: bool,
    /// Most times that a client sends one request.
    pub client_sends: u32,
    /// Whether calls of protected routes must run at most once.
    pub at_most_once: bool,
    /// Faults with their times.
    pub faults: Vec<(TimeUs, Fault)>,
    /// A deliberate fault in the decisions.
    pub broken: Option<Broken>,
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
            slots_held: true,
            client_sends: 5,
            at_most_once: false,
            faults: Vec::new(),
            broken: None,
        }
    }
}
