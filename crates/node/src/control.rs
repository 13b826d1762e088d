//! The node's side of the control protocols: datagrams, ticks, and what follows from them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmartrestle_claims::ClaimMember;
use fulmartrestle_config::propagation::ConfigMember;
use fulmartrestle_core::{VmId, lock, rendezvous_owner};
use fulmartrestle_membership::{MemberRow, MemberState, TargetInfo};
use fulmartrestle_policy::{CrashMark, TargetRow};
use fulmartrestle_quota::QuotaMember;
use tokio::net::UdpSocket;

use crate::clock::wall_ms;
use crate::drains::{local_target_identity, should_drain};
use crate::gate::LocalTarget;
use crate::peer::{ControlEnvelope, ControlMessage};
use crate::state::NodeState;
use crate::wire::{decode_exact, encode};

/// Longest control message sent as a datagram, in bytes: it fits an Ethernet frame. Longer ones go
/// over the peer's connection.
const MAX_DATAGRAM_BYTES: usize = 1_450;

/// Size of the receive buffer, in bytes: the largest datagram.
const RECEIVE_BUFFER_BYTES: usize = 65_536;

/// Pause between ticks of the gate and the rates. Queued calls wait for milliseconds.
const FAST_TICK_MS: u64 = 10;

/// Fast ticks between ticks of membership and of the own target's row.
const FAST_TICKS_PER_MEMBERSHIP: u64 = 5;

/// Fast ticks between connection probes of the own target.
const FAST_TICKS_PER_TARGET_PROBE: u64 = 50;

/// Role of the member of a zone that tells newcomers of crash marks.
const CRASH_MARKS_ROLE: &str = "crash-marks";

/// Fast ticks between ticks of the spread of configuration.
const FAST_TICKS_PER_CONFIG: u64 = 10;

/// Fast ticks between looks at the members for the spread of configuration, which costs a hash each.
const FAST_TICKS_PER_CONFIG_MEMBERS: u64 = 100;

/// Broadcast topic of crash marks.
const CRASH_MARK_TOPIC: u8 = 1;

/// Receives datagrams until the task is aborted.
pub async fn receive_datagrams(state: Arc<NodeState>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                if !state.allows(from) {
                    continue;
                }
                match decode_exact::<ControlEnvelope>(&buffer[..length]) {
                    Ok(envelope) => handle_control_message(&state, envelope, Some(from)),
                    Err(_) => state.counters.control_errors.add(1),
                }
                flush(&state, &socket).await;
            }
            Err(error) => {
                // A peer that is gone makes the system report its refusal here.
                log::trace!("control: receive failed: {error}");
            }
        }
    }
}

/// Takes one control message. `from` is absent when it came over a stream.
pub fn handle_control_message(state: &NodeState, envelope: ControlEnvelope, from: Option<SocketAddr>) {
    let now = state.clock.now();
    match envelope.message {
        ControlMessage::Membership(message) => {
            let from = from.or_else(|| state.directory.peer_address(envelope.from));
            if let Some(from) = from {
                lock(&state.membership).handle_message(from, message, now);
                apply_member_changes(state);
            }
        }
        ControlMessage::Quota(message) => state.rate_limiter.on_message(envelope.from, message),
        ControlMessage::CrashMarks(marks) => {
            let mut crashes = lock(&state.crashes);
            for mark in marks {
                crashes.merge_mark(mark, now);
            }
        }
        ControlMessage::Claims(message) => state.claims.on_message(envelope.from, message),
        ControlMessage::Config(message) => state.config_io.on_message(envelope.from, message),
    }
}

/// Runs the systems of the node on each tick until the task is aborted.
pub async fn run_ticks(state: Arc<NodeState>, socket: Arc<UdpSocket>) {
    let mut interval = tokio::time::interval(Duration::from_millis(FAST_TICK_MS));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ticks: u64 = 0;
    loop {
        interval.tick().await;
        ticks += 1;
        state.gate.tick();
        state.rate_limiter.tick();
        state.claims.tick();
        if ticks.is_multiple_of(FAST_TICKS_PER_MEMBERSHIP) {
            tick_membership(&state);
        }
        if ticks % FAST_TICKS_PER_CONFIG_MEMBERS == 1 {
            update_config_members(&state);
        }
        if ticks.is_multiple_of(FAST_TICKS_PER_CONFIG) {
            state.config_io.tick();
        }
        if ticks.is_multiple_of(FAST_TICKS_PER_TARGET_PROBE) {
            state.gate.probe_target().await;
        }
        flush(&state, &socket).await;
    }
}

fn update_config_members(state: &NodeState) {
    let now = state.clock.now();
    let members: Vec<_> = {
        let membership = lock(&state.membership);
        let live = membership.members(now).filter(|row| row.state.is_reachable());
        live.map(|row| ConfigMember { vm: row.vm, zone: row.zone }).collect()
    };
    state.config_io.set_members(&members);
}

/// Tells membership of the own target, lets it probe, and passes crash marks on.
fn tick_membership(state: &NodeState) {
    let now = state.clock.now();
    update_gate_drain(state);
    let local_target = state.gate.usable_target();
    let info = local_target.map(|target| target_info(&target, now));
    let marks = lock(&state.crashes).take_marks(now);
    {
        let mut membership = lock(&state.membership);
        let published = membership.member(state.own, now).and_then(|row| row.target);
        if !is_same_target(published.as_ref(), info.as_ref()) {
            membership.set_own_target(info, now);
        }
        for mark in marks {
            broadcast_mark(&mut membership, &mark, now);
        }
        membership.tick(now);
    }
    apply_member_changes(state);
}

fn update_gate_drain(state: &NodeState) {
    let Some(target) = state.gate.usable_target() else { return };
    let config = state.config.get();
    let leave = should_drain(
        &config,
        &local_target_identity(state.own, &state.zone, state.peer_address, &target),
        wall_ms() as i64,
    );
    state.gate.set_drain_requested(leave);
}

fn broadcast_mark(
    membership: &mut fulmartrestle_membership::Membership,
    mark: &CrashMark,
    now: fulmartrestle_core::TimeUs,
) {
    // Marks are a few dozen bytes, far below the bound on broadcasts. The key holds fingerprint and
    // attempt, so that the second crash of a request doesn't replace the first.
    let key = mark.fingerprint.0 ^ mark.attempt.0;
    if let Ok(bytes) = encode(mark) {
        let _ = membership.broadcast(CRASH_MARK_TOPIC, key, bytes, now);
    }
}

/// Feeds changes of the directory to the tables that depend on it.
fn apply_member_changes(state: &NodeState) {
    let now = state.clock.now();
    let (changes, broadcasts, members) = {
        let mut membership = lock(&state.membership);
        let changes = membership.take_changes(now);
        let broadcasts = membership.take_broadcasts();
        let members = (!changes.is_empty()).then(|| reachable_members(&membership, now));
        (changes, broadcasts, members)
    };
    for change in changes {
        apply_member_row(state, &change.row);
    }
    if let Some(members) = members {
        let claim_members: Vec<_> =
            members.iter().map(|member| ClaimMember { vm: member.vm, zone: member.zone.clone() }).collect();
        state.claims.set_members(&claim_members);
        state.rate_limiter.set_members(&members);
    }
    for broadcast in broadcasts.into_iter().filter(|broadcast| broadcast.topic == CRASH_MARK_TOPIC) {
        if let Ok(mark) = decode_exact::<CrashMark>(&broadcast.bytes) {
            lock(&state.crashes).merge_mark(mark, now);
        }
    }
}

fn reachable_members(
    membership: &fulmartrestle_membership::Membership,
    now: fulmartrestle_core::TimeUs,
) -> Vec<QuotaMember> {
    let live = membership.members(now).filter(|row| row.state.is_reachable());
    live.map(|row| QuotaMember { vm: row.vm, zone: row.zone }).collect()
}

fn apply_member_row(state: &NodeState, row: &MemberRow) {
    let now = state.clock.now();
    if row.state == MemberState::Dead {
        state.directory.remove(row.vm);
        lock(&state.targets).remove(row.vm);
        return;
    }
    if state.directory.insert(row.vm, row.peer_address) && row.vm != state.own {
        schedule_crash_marks(state, row);
    }
    let usable = row.state != MemberState::Unreachable;
    let mut targets = lock(&state.targets);
    match row.target.as_ref().filter(|_| usable) {
        Some(info) => targets.upsert(target_row(row, info), now),
        None => targets.remove(row.vm),
    }
}

/// Picks one member of the newcomer's zone to tell it of all crash marks; it would run blocked requests
/// without them. Rendezvous picks the same one everywhere, and a second telling would do no harm.
fn schedule_crash_marks(state: &NodeState, row: &MemberRow) {
    if row.zone != state.zone || lock(&state.crashes).is_empty() {
        return;
    }
    let zone = lock(&state.membership).reachable_in_zone(&state.zone);
    let others = zone.into_iter().filter(|vm| *vm != row.vm);
    if rendezvous_owner(CRASH_MARKS_ROLE, others) == Some(state.own) {
        lock(&state.awaiting_crash_marks).push(row.vm);
    }
}

fn target_row(row: &MemberRow, info: &TargetInfo) -> TargetRow {
    TargetRow {
        target: row.vm,
        service: info.service.clone(),
        zone: row.zone.clone(),
        slots: info.slots,
        warm_up_ms: u64::from(info.warm_up_ms.saturating_sub(info.age_ms)),
        leaving: info.leaving || row.state == MemberState::Leaving,
    }
}

fn target_info(target: &LocalTarget, now: fulmartrestle_core::TimeUs) -> TargetInfo {
    let announced = &target.announcement;
    TargetInfo {
        service: announced.service.clone(),
        slots: announced.slots,
        connections: announced.connections,
        warm_up_ms: announced.warm_up_ms,
        leaving: announced.leaving,
        age_ms: u32::try_from(now.ms_since(target.since)).unwrap_or(u32::MAX),
    }
}

/// Compares all but the age, which passes by itself.
fn is_same_target(left: Option<&TargetInfo>, right: Option<&TargetInfo>) -> bool {
    match (left, right) {
        (None, None) => true,
        (Some(left), Some(right)) => {
            TargetInfo { age_ms: 0, ..left.clone() } == TargetInfo { age_ms: 0, ..right.clone() }
        }
        _ => false,
    }
}

/// Sends what the parts have ready.
async fn flush(state: &Arc<NodeState>, socket: &UdpSocket) {
    let gossip = lock(&state.membership).take_outgoing();
    for send in gossip {
        send_control(state, socket, send.to, ControlMessage::Membership(send.message)).await;
    }
    let awaiting_crash_marks = std::mem::take(&mut *lock(&state.awaiting_crash_marks));
    for vm in awaiting_crash_marks {
        let marks = lock(&state.crashes).all_marks(state.clock.now());
        send_to_vm(state, socket, vm, ControlMessage::CrashMarks(marks)).await;
    }
    for send in state.config_io.take_outgoing() {
        send_to_vm(state, socket, send.to, ControlMessage::Config(send.message)).await;
    }
    for send in state.claims.take_outgoing() {
        send_to_vm(state, socket, send.to, ControlMessage::Claims(send.message)).await;
    }
    for send in state.rate_limiter.take_outgoing() {
        send_to_vm(state, socket, send.to, ControlMessage::Quota(send.message)).await;
    }
}

async fn send_to_vm(state: &Arc<NodeState>, socket: &UdpSocket, to: VmId, message: ControlMessage) {
    if let Some(address) = state.directory.peer_address(to) {
        send_control(state, socket, address, message).await;
    }
}

async fn send_control(state: &Arc<NodeState>, socket: &UdpSocket, to: SocketAddr, message: ControlMessage) {
    if !state.allows(to) {
        return;
    }
    let envelope = ControlEnvelope { from: state.own, message };
    let Ok(bytes) = encode(&envelope) else {
        state.counters.control_errors.add(1);
        return;
    };
    state.counters.control_bytes.add(bytes.len() as u64);
    if bytes.len() > MAX_DATAGRAM_BYTES {
        tokio::spawn(send_over_stream(Arc::clone(state), to, envelope));
        return;
    }
    state.counters.datagrams.add(1);
    if socket.send_to(&bytes, to).await.is_err() {
        state.counters.control_errors.add(1);
    }
}

async fn send_over_stream(state: Arc<NodeState>, to: SocketAddr, envelope: ControlEnvelope) {
    let sent = async { state.peers.link(to).await?.notify(&envelope).await };
    if let Err(error) = sent.await {
        state.counters.control_errors.add(1);
        log::debug!("control: message to {to} was not sent: {error}");
    }
}
