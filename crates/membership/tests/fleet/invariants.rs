//! What must hold at each step of a randomised run.

use std::collections::BTreeMap;

use fulmartrestle_core::{TimeUs, VmId};
use fulmartrestle_membership::{Incarnation, MemberRow, MemberState};

use super::Fleet;

/// Time for which a connected pair may see each other wrongly, in milliseconds. It is longer
/// than the 3 s of an undisturbed crash because datagrams are lost and doubled meanwhile.
const SETTLE_MS: u64 = 8_000;

/// Viewer, subject and whether the subject runs.
type PairState = (VmId, VmId, bool);

#[derive(Default)]
struct Seen {
    incarnation: Incarnation,
    dead: Option<Incarnation>,
}

/// What was seen so far.
#[derive(Default)]
pub struct Invariants {
    seen: BTreeMap<(VmId, VmId), Seen>,
    own: BTreeMap<VmId, Incarnation>,
    wrong_since: BTreeMap<(usize, usize), (PairState, TimeUs)>,
}

impl Invariants {
    /// Checks all invariants at the present step.
    pub fn check(&mut self, fleet: &Fleet) -> Result<(), String> {
        if let Some(fault) = &fleet.transport_fault {
            return Err(fault.clone());
        }
        for index in 0..fleet.nodes.len() {
            self.note_own(fleet, index)?;
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

    fn note_own(&mut self, fleet: &Fleet, index: usize) -> Result<(), String> {
        let vm = fleet.vm(index);
        let own = fleet.nodes[index].membership.member(vm, fleet.now);
        let own = own.ok_or_else(|| format!("{vm} has no row of its own"))?;
        if !matches!(own.state, MemberState::Alive | MemberState::Leaving) {
            return Err(format!("{vm} holds itself for {:?}", own.state));
        }
        self.own.insert(vm, own.incarnation);
        Ok(())
    }

    fn check_rows(&mut self, fleet: &Fleet, viewer: usize) -> Result<(), String> {
        for row in fleet.nodes[viewer].membership.members(fleet.now) {
            let pair = (fleet.vm(viewer), row.vm);
            self.check_row(pair, &row)?;
        }
        Ok(())
    }

    /// A member alone raises its incarnation; it never goes back; no dead incarnation comes back.
    fn check_row(&mut self, pair: (VmId, VmId), row: &MemberRow) -> Result<(), String> {
        let highest = self.own.get(&row.vm).copied().unwrap_or_default();
        if row.incarnation > highest {
            return Err(format!("{} holds an incarnation {} that {} never had", pair.0, row.incarnation, row.vm));
        }
        let seen = self.seen.entry(pair).or_default();
        if row.incarnation < seen.incarnation {
            return Err(format!("{} went back to incarnation {} of {}", pair.0, row.incarnation, row.vm));
        }
        seen.incarnation = row.incarnation;
        if row.state == MemberState::Dead {
            seen.dead = Some(row.incarnation);
        } else if seen.dead.is_some_and(|dead| dead >= row.incarnation) {
            return Err(format!("the dead incarnation {} of {} came back at {}", row.incarnation, row.vm, pair.0));
        }
        Ok(())
    }

    /// A pair whose ends and connection do not change sees each other as they are after a while. A
    /// shorter mistake is allowed: a live member may be held for dead until its refutation arrives.
    fn check_pair(&mut self, fleet: &Fleet, viewer: usize, subject: usize) -> Result<(), String> {
        let is_connected = !fleet.is_cut(fleet.nodes[viewer].zone, fleet.nodes[subject].zone);
        let is_running = fleet.nodes[subject].running;
        let is_settled = fleet.is_active(viewer) && (!is_running || fleet.is_active(subject)) && is_connected;
        let row = fleet.nodes[viewer].membership.member(fleet.vm(subject), fleet.now);
        let is_right = match &row {
            Some(row) => row.state.is_reachable() == is_running,
            None => !is_running,
        };
        let state = (fleet.vm(viewer), fleet.vm(subject), is_running);
        let entry = self.wrong_since.entry((viewer, subject)).or_insert((state, fleet.now));
        if is_right || !is_settled || entry.0 != state {
            *entry = (state, fleet.now);
            return Ok(());
        }
        if fleet.now.ms_since(entry.1) < SETTLE_MS {
            return Ok(());
        }
        let own = fleet.nodes[subject].membership.member(fleet.vm(subject), fleet.now);
        Err(format!("node {viewer} holds node {subject} for {row:?}; running: {is_running}, itself: {own:?}"))
    }
}

/// Checks that all running nodes hold the same rows of the running nodes, and no others for live. A
/// zone that crashed as a whole stays unreachable: nothing tells it from one that is cut off.
pub fn check_agreement(fleet: &Fleet) -> Result<(), String> {
    let running: Vec<usize> = (0..fleet.nodes.len()).filter(|index| fleet.nodes[*index].running).collect();
    for viewer in &running {
        let membership = &fleet.nodes[*viewer].membership;
        let live = membership.members(fleet.now).filter(|row| row.state.is_reachable()).count();
        if live != running.len() {
            return Err(format!("node {viewer} holds {live} of {} members for live", running.len()));
        }
        for subject in &running {
            let vm = fleet.vm(*subject);
            let own = fleet.nodes[*subject].membership.member(vm, fleet.now).map(without_age);
            let view = membership.member(vm, fleet.now).map(without_age);
            if own != view {
                return Err(format!("node {viewer} holds {view:?} for {own:?}"));
            }
        }
    }
    Ok(())
}

/// Ages differ by the time that the row travelled.
fn without_age(mut row: MemberRow) -> MemberRow {
    if let Some(target) = &mut row.target {
        target.age_ms = 0;
    }
    row
}
