//! One VM of the model: a target with its node.

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
    /// Index of its service.
    pub service: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Its zone's name.
    pub zone_name: AvailabilityZone,
    /// Admission to the target.
    pub gate: AdmissionGate,
    /// Refusals at the entry.
    pub door: IngressAdmission,
    /// Its view of the targets.
    pub table: TargetTable,
    /// Its retry budgets.
    pub budgets: RetryBudgets,
    /// Its view of crash requests.
    pub crashes: CrashTable,
    /// Calls handed to the target that wait for a slot.
    pub waiting: VecDeque<CallId>,
    /// Calls that occupy a slot.
    pub working: HashSet<CallId>,
    /// Whether the target's process runs.
    pub target_up: bool,
    /// Whether the VM is there.
    pub vm_up: bool,
    /// Counts restarts, so that work of a former life is not taken for present work.
    pub life: u32,
    /// Nothing happens here before this time.
    pub paused_until: TimeUs,
    /// When the target began to leave.
    pub leaving: Option<TimeUs>,
    /// When a call below the protected class started last.
    pub last_sheddable: Option<TimeUs>,
    /// When a protected call was shed last.
    pub last_protected_shed: Option<TimeUs>,
    /// Calls below the protected class that the gate has queued.
    pub queued_sheddable: HashSet<CallId>,
    /// Next target in turn for each service (baseline only).
    pub turn: Vec<usize>,
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
            door: IngressAdmission::new(IngressAdmissionSettings::default()),
            table: TargetTable::default(),
            budgets: RetryBudgets::default(),
            crashes: CrashTable::default(),
            waiting: VecDeque::new(),
            working: HashSet::new(),
            target_up: true,
            vm_up: true,
            life: 0,
            paused_until: TimeUs::default(),
            leaving: None,
            last_sheddable: None,
            last_protected_shed: None,
            queued_sheddable: HashSet::new(),
            turn: vec![vm.0 as usize; services],
        }
    }
}

/// Returns a zone's name.
pub fn zone_name(zone: usize) -> AvailabilityZone {
    let name = format!("zone-{zone}");
    name.parse().expect("the name is valid")
}
