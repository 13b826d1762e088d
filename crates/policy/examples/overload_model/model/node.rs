//! One VM of the model, with a target and its node.

use std::collections::{HashSet, VecDeque};

use fulmartrestle_core::{AvailabilityZone, CallId, TimeUs, VmId};
use fulmartrestle_policy::{
    AdmissionGate, AdmissionGateSettings, CrashTable, IngressAdmission, IngressAdmissionSettings, RetryBudgets,
    TargetHints, TargetTable,
};

use super::deployment::ServiceSpec;

/// A target and the node in front of it.
#[derive(Debug)]
pub struct Node {
    /// Identity of the node's present run.
    pub vm: VmId,
    /// Index of the target's service.
    pub service: usize,
    /// Index of the zone.
    pub zone: usize,
    /// Name of the zone.
    pub zone_name: AvailabilityZone,
    /// Admission gate of the target.
    pub gate: AdmissionGate,
    /// Admission control for requests that enter at this node.
    pub ingress_admission: IngressAdmission,
    /// Local view of the targets.
    pub target_table: TargetTable,
    /// Retry budgets.
    pub budgets: RetryBudgets,
    /// Local view of crash requests.
    pub crashes: CrashTable,
    /// Calls sent to the target that wait for a slot.
    pub waiting: VecDeque<CallId>,
    /// Calls that occupy a slot.
    pub working: HashSet<CallId>,
    /// Whether the target's process runs.
    pub target_up: bool,
    /// Whether the VM exists.
    pub vm_up: bool,
    /// Number of times that the VM was replaced; events of an earlier generation are ignored.
    pub generation: u32,
    /// End of a pause, during which the node handles no events.
    pub paused_until: TimeUs,
    /// Time at which the target began to leave.
    pub leaving: Option<TimeUs>,
    /// Time at which a call below the protected class last started.
    pub last_sheddable: Option<TimeUs>,
    /// Time at which a protected call was last shed.
    pub last_protected_shed: Option<TimeUs>,
    /// Calls below the protected class that are queued at the gate.
    pub queued_sheddable: HashSet<CallId>,
    /// Round-robin position for each service (baseline only).
    pub round_robin_index: Vec<usize>,
}

impl Node {
    /// Returns a running node.
    pub fn new(vm: VmId, service: usize, zone: usize, spec: &ServiceSpec, services: usize) -> Self {
        let mut gate = AdmissionGate::new(AdmissionGateSettings::default());
        let hints = TargetHints {
            slots: Some(spec.slots as u32),
            connections: Some(spec.connections as u32),
            ..TargetHints::default()
        };
        gate.set_hints(hints, TimeUs::default());
        Self {
            vm,
            service,
            zone,
            zone_name: zone_name(zone),
            gate,
            ingress_admission: IngressAdmission::new(IngressAdmissionSettings::default()),
            target_table: TargetTable::default(),
            budgets: RetryBudgets::default(),
            crashes: CrashTable::default(),
            waiting: VecDeque::new(),
            working: HashSet::new(),
            target_up: true,
            vm_up: true,
            generation: 0,
            paused_until: TimeUs::default(),
            leaving: None,
            last_sheddable: None,
            last_protected_shed: None,
            queued_sheddable: HashSet::new(),
            round_robin_index: vec![vm.0 as usize; services],
        }
    }
}

/// Returns the name of a zone.
pub fn zone_name(zone: usize) -> AvailabilityZone {
    let name = format!("zone-{zone}");
    name.parse().expect("the name is valid")
}
