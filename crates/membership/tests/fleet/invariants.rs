//! Invariants that are checked after each tick of a randomised run.

use std::collections::BTreeMap;

use fulmartrestle_core::{TimeUs, VmId};
use fulmartrestle_membership::{Incarnation, MemberRow, MemberState};

use super::Fleet;

/// Time for which a connected node may have a wrong view of another, in milliseconds. It is longer than the 3 s in
/// which a crash is detected without disturbances, because datagrams may be lost and duplicated.
const CONVERGENCE_TIMEOUT_MS: u64 = 8_000;

/// IDs of the viewer and the subject, and whether the subject is running.
type PairState = (VmId, VmId, bool);

#[derive(Default)]
struct ObservedMember {
    incarnation: Incarnation,
    dead_incarnation: Option<Incarnation>,
}

/// Observations from earlier ticks, which later ones are checked against.
#[derive(Default)]
pub struct Invariants {
    seen: BTreeMap<(VmId, VmId), ObservedMember>,
    own_incarnations: BTreeMap<VmId, Incarnation>,
    incorrect_since: BTreeMap<(usize, usize), (PairState, TimeUs)>,
}

impl Invariants {
    /// Checks all invariants at the current tick, and returns a description of the first violation.
    pub fn check(&mut self, fleet: &Fleet) -> Result<(), String> {
        if let Some(violation) = &fleet.bound_violation {
            return Err(violation.clone());
        }
        for index in 0..fleet.nodes.len() {
            self.record_own_incarnation(fleet, index)?;
        }
        for viewer in 0..fleet.nodes.len() {
            if fleet.is_active(viewer) {
                self.check_rows(fleet, viewer)?;
            }
            for subject in 0..fleet.nodes.len() {
                self.check_pair(fleet, viewer, subject)?;
            }
        }
        Ok(())
    }

    fn record_own_incarnation(&mut self, fleet: &Fleet, index: usize) -> Result<(), String> {
        let vm = fleet.vm(index);
        let own = fleet.nodes[index].membership.member(vm, fleet.now);
        let own = own.ok_or_else(|| format!("{vm} has no row of its own"))?;
        if !matches!(own.state, MemberState::Alive | MemberState::Leaving) {
            return Err(format!("{vm} considers itself {:?}", own.state));
        }
        self.own_incarnations.insert(vm, own.incarnation);
        Ok(())
    }

    fn check_rows(&mut self, fleet: &Fleet, viewer: usize) -> Result<(), String> {
        for row in fleet.nodes[viewer].membership.members(fleet.now) {
            let pair = (fleet.vm(viewer), row.vm);
            self.check_row(pair, &row)?;
        }
        Ok(())
    }

    /// Checks that only the member itself increments its incarnation, that incarnations never decrease, and that a
    /// member that was declared dead returns only with a higher incarnation.
    fn check_row(&mut self, pair: (VmId, VmId), row: &MemberRow) -> Result<(), String> {
        let highest = self.own_incarnations.get(&row.vm).copied().unwrap_or_default();
        if row.incarnation > highest {
            return Err(format!("{} has incarnation {} of {}, which never used it", pair.0, row.incarnation, row.vm));
        }
        let seen = self.seen.entry(pair).or_default();
        if row.incarnation < seen.incarnation {
            return Err(format!("{} reverted to incarnation {} of {}", pair.0, row.incarnation, row.vm));
        }
        seen.incarnation = row.incarnation;
        if row.state == MemberState::Dead {
            seen.dead_incarnation = Some(row.incarnation);
        } else if seen.dead_incarnation.is_some_and(|dead| dead >= row.incarnation) {
            return Err(format!("the dead incarnation {} of {} reappeared at {}", row.incarnation, row.vm, pair.0));
        }
        Ok(())
    }

    /// Checks that the view of a subject becomes correct within [`CONVERGENCE_TIMEOUT_MS`] if neither the nodes nor the
    /// connection between them change. A shorter error is allowed: a live member may be considered dead until its
    /// refutation arrives.
    fn check_pair(&mut self, fleet: &Fleet, viewer: usize, subject: usize) -> Result<(), String> {
        let is_connected = !fleet.is_partitioned(fleet.nodes[viewer].zone, fleet.nodes[subject].zone);
        let is_running = fleet.nodes[subject].running;
        let is_stable = fleet.is_active(viewer) && (!is_running || fleet.is_active(subject)) && is_connected;
        let row = fleet.nodes[viewer].membership.member(fleet.vm(subject), fleet.now);
        let is_correct = match &row {
            Some(row) => row.state.is_reachable() == is_running,
            None => !is_running,
        };
        let state = (fleet.vm(viewer), fleet.vm(subject), is_running);
        let entry = self.incorrect_since.entry((viewer, subject)).or_insert((state, fleet.now));
        if is_correct || !is_stable || entry.0 != state {
            *entry = (state, fleet.now);
            return Ok(());
        }
        if fleet.now.ms_since(entry.1) < CONVERGENCE_TIMEOUT_MS {
            return Ok(());
        }
        let own = fleet.nodes[subject].membership.member(fleet.vm(subject), fleet.now);
        Err(format!("node {viewer} sees node {subject} as {row:?}; running: {is_running}, own row: {own:?}"))
    }
}

/// Checks that all running nodes have the same rows of the running nodes, and consider no other node reachable. A zone
/// that crashed as a whole stays unreachable, because it cannot be distinguished from a partitioned one.
pub fn check_agreement(fleet: &Fleet) -> Result<(), String> {
    let running: Vec<usize> = (0..fleet.nodes.len()).filter(|index| fleet.nodes[*index].running).collect();
    for viewer in &running {
        let membership = &fleet.nodes[*viewer].membership;
        let reachable = membership.members(fleet.now).filter(|row| row.state.is_reachable()).count();
        if reachable != running.len() {
            return Err(format!("node {viewer} sees {reachable} reachable members, {} are running", running.len()));
        }
        for subject in &running {
            let vm = fleet.vm(*subject);
            let own = fleet.nodes[*subject].membership.member(vm, fleet.now).map(without_age);
            let view = membership.member(vm, fleet.now).map(without_age);
            if own != view {
                return Err(format!("node {viewer} has {view:?}, but the subject's own row is {own:?}"));
            }
        }
    }
    Ok(())
}

/// Clears the age, which differs by the time that the row was in transit.
fn without_age(mut row: MemberRow) -> MemberRow {
    if let Some(target) = &mut row.target {
        target.age_ms = 0;
    }
    row
}
