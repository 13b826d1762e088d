//! I/O of the control protocols: datagrams, periodic ticks, and updates of the tables that depend on membership.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmartrestle_claims::ClaimMember;
use fulmartrestle_config::propagation::ConfigMember;
use fulmartrestle_core::{VmId, lock, rendezvous_owner};
use fulmartrestle_membership::{MemberRow, MemberState, TargetInfo};
use fulmartrestle_policy::{AnnouncedTarget, CrashMark};
use fulmartrestle_quota::QuotaMember;
use tokio::net::UdpSocket;

use crate::clock::wall_ms;
use crate::drains::{local_target_identity, should_drain};
use crate::gate::LocalTarget;
use crate::peer::{ControlEnvelope, ControlMessage};
use crate::state::NodeState;
use crate::wire::{decode_exact, encode};

/// Maximum length of a control message sent as a datagram, in bytes, so that it fits into an Ethernet frame. Longer
/// messages are sent over the peer's connection.
const MAX_DATAGRAM_BYTES: usize = 1_450;

/// Size of the receive buffer, in bytes, which is the maximum size of a datagram.
const RECEIVE_BUFFER_BYTES: usize = 65_536;

/// Interval between ticks of the gate, the rate limiter and the claims, in milliseconds. It is short, because queued
/// calls wait for milliseconds only.
const FAST_TICK_MS: u64 = 10;

/// Number of fast ticks between ticks of membership and updates of the published local target.
const FAST_TICKS_PER_MEMBERSHIP_TICK: u64 = 5;

/// Number of fast ticks between connection probes of the local target.
const FAST_TICKS_PER_TARGET_PROBE: u64 = 50;

/// Rendezvous hashing role of the member of a zone that sends crash marks to new members.
const CRASH_MARKS_ROLE: &str = "crash-marks";

/// Number of fast ticks between ticks of configuration propagation.
const FAST_TICKS_PER_CONFIG_TICK: u64 = 10;

/// Number of fast ticks between member updates for configuration propagation, each of which computes a hash per
/// member.
const FAST_TICKS_PER_CONFIG_MEMBER_UPDATE: u64 = 100;

/// Broadcast topic of crash marks.
const CRASH_MARK_TOPIC: u8 = 1;

/// Receives datagrams until the task is aborted.
pub async fn receive_datagrams(state: Arc<NodeState>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                if !state.can_reach(from) {
                    continue;
                }
                match decode_exact::<ControlEnvelope>(&buffer[..length]) {
                    Ok(envelope) => handle_control_message(&state, envelope, Some(from)),
                    Err(_) => state.counters.control_errors.add(1),
                }
                send_outgoing(&state, &socket).await;
            }
            Err(error) => {
                // After a datagram to a stopped peer, the system may report "connection refused" as a receive error.
                log::trace!("control: receive failed: {error}");
            }
        }
    }
}

/// Handles a control message. `from` is absent when the message was received over a stream.
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

/// Runs the periodic work of the node's components until the task is aborted.
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
        if ticks.is_multiple_of(FAST_TICKS_PER_MEMBERSHIP_TICK) {
            tick_membership(&state);
        }
        if ticks % FAST_TICKS_PER_CONFIG_MEMBER_UPDATE == 1 {
            update_config_members(&state);
        }
        if ticks.is_multiple_of(FAST_TICKS_PER_CONFIG_TICK) {
            state.config_io.tick();
        }
        if ticks.is_multiple_of(FAST_TICKS_PER_TARGET_PROBE) {
            state.gate.probe_target().await;
        }
        send_outgoing(&state, &socket).await;
    }
}

fn update_config_members(state: &NodeState) {
    let now = state.clock.now();
    let members: Vec<_> = {
        let membership = lock(&state.membership);
        let reachable = membership.members(now).filter(|row| row.state.is_reachable());
        reachable.map(|row| ConfigMember { vm: row.vm, zone: row.zone }).collect()
    };
    state.config_io.set_members(&members);
}

/// Publishes the local target and new crash marks, and runs the periodic work of membership.
fn tick_membership(state: &NodeState) {
    let now = state.clock.now();
    update_gate_drain(state);
    let local_target = state.gate.usable_target();
    let info = local_target.map(|target| target_info(&target, now));
    let marks = lock(&state.crashes).take_marks(now);
    {
        let mut membership = lock(&state.membership);
        let published = membership.member(state.local_vm, now).and_then(|row| row.target);
        if !is_same_target(published.as_ref(), info.as_ref()) {
            membership.set_local_target(info, now);
        }
        for mark in marks {
            broadcast_crash_mark(&mut membership, &mark, now);
        }
        membership.tick(now);
    }
    apply_member_changes(state);
}

fn update_gate_drain(state: &NodeState) {
    let Some(target) = state.gate.usable_target() else { return };
    let config = state.config.get();
    let drain = should_drain(
        &config,
        &local_target_identity(state.local_vm, &state.zone, state.peer_address, &target),
        wall_ms() as i64,
    );
    state.gate.set_drain_requested(drain);
}

fn broadcast_crash_mark(
    membership: &mut fulmartrestle_membership::Membership,
    mark: &CrashMark,
    now: fulmartrestle_core::TimeUs,
) {
    // Marks are a few dozen bytes, far below the size limit of broadcasts. The key combines fingerprint,
    // target and attempt, so that the second crash of a request doesn't replace the first.
    let key = mark.fingerprint.0 ^ mark.target.0 ^ mark.attempt.0;
    if let Ok(bytes) = encode(mark) {
        let _ = membership.broadcast(CRASH_MARK_TOPIC, key, bytes, now);
    }
}

/// Applies membership changes and received broadcasts to the tables that depend on them.
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
    let reachable = membership.members(now).filter(|row| row.state.is_reachable());
    reachable.map(|row| QuotaMember { vm: row.vm, zone: row.zone }).collect()
}

fn apply_member_row(state: &NodeState, row: &MemberRow) {
    let now = state.clock.now();
    if row.state == MemberState::Dead {
        state.directory.remove(row.vm);
        lock(&state.targets).remove(row.vm);
        return;
    }
    if state.directory.insert(row.vm, row.peer_address) && row.vm != state.local_vm {
        schedule_crash_marks(state, row);
    }
    let usable = row.state != MemberState::Unreachable;
    let mut targets = lock(&state.targets);
    match row.target.as_ref().filter(|_| usable) {
        Some(info) => targets.upsert(announced_target(row, info), now),
        None => targets.remove(row.vm),
    }
}

/// Schedules the transfer of all crash marks to a new member, if this node is the one to send them.
///
/// Without the marks the new member would run blocked requests. Rendezvous hashing selects one sender in each zone: the
/// new member may be alone in its own, or the others there may have just joined themselves. Duplicate transfers are
/// harmless.
fn schedule_crash_marks(state: &NodeState, row: &MemberRow) {
    if lock(&state.crashes).is_empty() {
        return;
    }
    let zone = lock(&state.membership).reachable_in_zone(&state.zone);
    let candidates = zone.into_iter().filter(|vm| *vm != row.vm);
    if rendezvous_owner(CRASH_MARKS_ROLE, candidates) == Some(state.local_vm) {
        lock(&state.awaiting_crash_marks).push(row.vm);
    }
}

fn announced_target(row: &MemberRow, info: &TargetInfo) -> AnnouncedTarget {
    AnnouncedTarget {
        target: row.vm,
        service: info.service.clone(),
        zone: row.zone.clone(),
        slots: info.slots,
        warm_up_ms: u64::from(info.warm_up_ms.saturating_sub(info.age_ms)),
        leaving: info.leaving || row.state == MemberState::Leaving,
    }
}

fn target_info(target: &LocalTarget, now: fulmartrestle_core::TimeUs) -> TargetInfo {
    let announcement = &target.announcement;
    TargetInfo {
        service: announcement.service.clone(),
        slots: announcement.slots,
        connections: announcement.connections,
        warm_up_ms: announcement.warm_up_ms,
        leaving: announcement.leaving,
        age_ms: u32::try_from(now.ms_since(target.announced_at)).unwrap_or(u32::MAX),
    }
}

/// Returns whether two target rows are equal except for the age, which changes continuously.
fn is_same_target(left: Option<&TargetInfo>, right: Option<&TargetInfo>) -> bool {
    match (left, right) {
        (None, None) => true,
        (Some(left), Some(right)) => {
            TargetInfo { age_ms: 0, ..left.clone() } == TargetInfo { age_ms: 0, ..right.clone() }
        }
        _ => false,
    }
}

/// Sends the outgoing messages of all components.
async fn send_outgoing(state: &Arc<NodeState>, socket: &UdpSocket) {
    let gossip = lock(&state.membership).take_outgoing();
    for outgoing in gossip {
        send_control(state, socket, outgoing.to, ControlMessage::Membership(outgoing.message)).await;
    }
    let awaiting_crash_marks = std::mem::take(&mut *lock(&state.awaiting_crash_marks));
    for vm in awaiting_crash_marks {
        let marks = lock(&state.crashes).all_marks(state.clock.now());
        send_to_vm(state, socket, vm, ControlMessage::CrashMarks(marks)).await;
    }
    for outgoing in state.config_io.take_outgoing() {
        send_to_vm(state, socket, outgoing.to, ControlMessage::Config(outgoing.message)).await;
    }
    for outgoing in state.claims.take_outgoing() {
        send_to_vm(state, socket, outgoing.to, ControlMessage::Claims(outgoing.message)).await;
    }
    for outgoing in state.rate_limiter.take_outgoing() {
        send_to_vm(state, socket, outgoing.to, ControlMessage::Quota(outgoing.message)).await;
    }
}

async fn send_to_vm(state: &Arc<NodeState>, socket: &UdpSocket, to: VmId, message: ControlMessage) {
    if let Some(address) = state.directory.peer_address(to) {
        send_control(state, socket, address, message).await;
    }
}

async fn send_control(state: &Arc<NodeState>, socket: &UdpSocket, to: SocketAddr, message: ControlMessage) {
    if !state.can_reach(to) {
        return;
    }
    let envelope = ControlEnvelope { from: state.local_vm, message };
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
    let delivery = async { state.peers.client(to).await?.notify(&envelope).await };
    if let Err(error) = delivery.await {
        state.counters.control_errors.add(1);
        log::debug!("control: cannot send a message to {to} over a stream: {error}");
    }
}
