//! A fleet of token pools in virtual time. Nodes exchange their leases in status messages, which can be lost, held
//! back by a suspended receiver, or cut off, and request tokens from issuers. The clocks of the nodes differ.

use std::collections::HashMap;

use fulmartrestle_core::{RateMilliPerS, Tenant, TimeUs, Tokens, VmId};
use fulmartrestle_quota::{
    IssuerCandidate, IssuerTable, IssuingRight, ShardSet, TenantLimit, TokenDecision, TokenPool, TokenShard,
};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Requests beyond rate and burst that the operator tolerates.
pub const SLACK_TOKENS: f64 = 20.0;

const STATUS_INTERVAL_MS: u64 = 1_000;
const LESSEE_TIMEOUT_MS: u64 = 1_500;
const LIVE_TIMEOUT_MS: u64 = 2_600;
const MAX_ISSUERS_ASKED: usize = 8;

/// A way in which the fleet is broken on purpose, to show that the checks notice it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breakage {
    None,
    /// Issuers use leases for longer than the lessors expect.
    LeasesOutliveTheirEnd,
    /// A restarted node uses its right while a lease of its earlier run may be valid.
    RestartWithoutWaiting,
    /// One node never applies a lowered limit.
    LoweredLimitIgnored,
    /// An issuer that yields tokens keeps them too.
    YieldedTokensKept,
}

#[derive(Clone, Debug)]
pub struct FleetSettings {
    pub nodes: usize,
    pub zones: usize,
    pub rate_milli_per_s: u64,
    pub burst: u64,
    pub loss_probability: f64,
    pub breakage: Breakage,
    pub seed: u64,
}

#[derive(Clone, Debug)]
struct PeerView {
    node: VmId,
    stamp: TimeUs,
    last_seen: TimeUs,
    issuers: IssuerTable,
    has_heard_this_run: bool,
}

struct Status {
    from: usize,
    node: VmId,
    stamp: TimeUs,
    echo: Option<TimeUs>,
    issuers: IssuerTable,
}

struct Node {
    id: VmId,
    zone: usize,
    pool: TokenPool,
    right: IssuingRight,
    started_at: TimeUs,
    first_start: bool,
    peers: HashMap<usize, PeerView>,
    next_status_ms: u64,
    suspended_until_ms: u64,
    down_until_ms: u64,
    inbox: Vec<Status>,
    clock_offset_us: u64,
    clock_speed: f64,
}

pub struct PoolFleet {
    pub settings: FleetSettings,
    pub rng: ChaCha8Rng,
    nodes: Vec<Node>,
    pub now_ms: u64,
    /// Zones that are partitioned from all others.
    pub cut_zones: Vec<usize>,
    /// Nodes that are partitioned from all others.
    pub cut_nodes: Vec<usize>,
    limit: TenantLimit,
    /// Times at which requests were granted, in milliseconds.
    pub granted_ms: Vec<u64>,
    /// Token requests between nodes.
    pub exchanges: u64,
    /// Requests that a central bucket would have admitted, and those of them that were refused.
    pub within_rate: u64,
    pub refused_within_rate: u64,
    central_tokens: f64,
    central_at_ms: u64,
}

pub fn tenant() -> Tenant {
    "agency".parse().expect("a valid name")
}

impl PoolFleet {
    pub fn start(settings: FleetSettings) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let limit = TenantLimit {
            tenant: tenant(),
            rate: RateMilliPerS(settings.rate_milli_per_s),
            burst: Tokens(settings.burst),
        };
        let nodes = (0..settings.nodes).map(|index| {
            let zone = index % settings.zones;
            let offset_us = rng.random_range(1_000_000_000..100_000_000_000);
            let speed = rng.random_range(0.995..1.005);
            Node {
                id: VmId(rng.random()),
                zone,
                pool: TokenPool::default(),
                right: IssuingRight::default(),
                started_at: TimeUs(offset_us),
                first_start: true,
                peers: HashMap::new(),
                next_status_ms: rng.random_range(0..300),
                suspended_until_ms: 0,
                down_until_ms: 0,
                inbox: Vec::new(),
                clock_offset_us: offset_us,
                clock_speed: speed,
            }
        });
        let nodes: Vec<Node> = nodes.collect();
        let central_tokens = settings.burst as f64;
        let mut fleet = Self {
            settings,
            rng,
            nodes,
            now_ms: 0,
            cut_zones: Vec::new(),
            cut_nodes: Vec::new(),
            limit,
            granted_ms: Vec::new(),
            exchanges: 0,
            within_rate: 0,
            refused_within_rate: 0,
            central_tokens,
            central_at_ms: 0,
        };
        for index in 0..fleet.nodes.len() {
            fleet.prepare_pool(index);
        }
        fleet
    }

    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the nodes of a zone.
    pub fn nodes_in_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].zone == zone).collect()
    }

    /// Changes the limit on all nodes at once.
    pub fn set_limit(&mut self, rate_milli_per_s: u64, burst: u64) {
        self.limit = TenantLimit { rate: RateMilliPerS(rate_milli_per_s), burst: Tokens(burst), ..self.limit.clone() };
        for index in 0..self.nodes.len() {
            if self.settings.breakage == Breakage::LoweredLimitIgnored && self.is_issuer(index) {
                continue;
            }
            let now = self.clock(index);
            let limit = self.limit.clone();
            self.nodes[index].pool.set_limits(&[limit], now);
        }
    }

    /// Returns whether any node has named this one as issuer of the tenant's shard.
    pub fn is_issuer(&self, index: usize) -> bool {
        let shard = self.shard();
        let id = self.nodes[index].id;
        self.nodes.iter().any(|node| node.right.issuer(shard) == Some(id))
    }

    /// Restarts a node, which stays down for a while.
    pub fn restart(&mut self, index: usize, down_ms: u64) {
        let first_stamp = self.clock(index);
        let id = VmId(self.rng.random());
        let next_status_ms = self.now_ms + down_ms + self.rng.random_range(0..50);
        let node = &mut self.nodes[index];
        node.id = id;
        node.pool = TokenPool::default();
        node.right = IssuingRight::default();
        node.started_at = first_stamp.plus_ms(down_ms);
        node.first_start = false;
        node.peers.clear();
        node.inbox.clear();
        node.next_status_ms = next_status_ms;
        node.down_until_ms = self.now_ms + down_ms;
        node.suspended_until_ms = 0;
        self.prepare_pool(index);
    }

    /// Suspends a node: it does nothing, and its messages wait for it.
    pub fn suspend(&mut self, index: usize, for_ms: u64) {
        self.nodes[index].suspended_until_ms = self.now_ms + for_ms;
    }

    /// Lets one millisecond pass.
    pub fn step(&mut self) {
        self.now_ms += 1;
        for index in 0..self.nodes.len() {
            if !self.is_running(index) {
                continue;
            }
            let inbox = std::mem::take(&mut self.nodes[index].inbox);
            for status in inbox {
                self.apply_status(index, status);
            }
            if self.now_ms >= self.nodes[index].next_status_ms {
                self.nodes[index].next_status_ms = self.now_ms + STATUS_INTERVAL_MS;
                self.send_status(index);
            }
        }
    }

    /// Sends a request to a node and returns whether it was granted. A node that does not run receives none.
    pub fn request(&mut self, index: usize) -> bool {
        if !self.is_running(index) {
            return false;
        }
        let within_rate = self.take_central();
        let granted = self.take(index);
        if granted {
            self.granted_ms.push(self.now_ms);
        }
        self.within_rate += u64::from(within_rate);
        self.refused_within_rate += u64::from(within_rate && !granted);
        granted
    }

    /// Returns by how many requests the fleet exceeded rate and burst in the worst interval, for a limit that did
    /// not change.
    pub fn worst_excess(&self) -> f64 {
        let rate_per_ms = self.settings.rate_milli_per_s as f64 / 1e6;
        // The level of a bucket that leaks at the rate: its maximum is the worst interval's excess plus the burst.
        let mut level: f64 = 0.0;
        let mut worst = f64::MIN;
        let mut last_ms = 0;
        for at_ms in &self.granted_ms {
            level = (level - (at_ms - last_ms) as f64 * rate_per_ms).max(0.0) + 1.0;
            last_ms = *at_ms;
            worst = worst.max(level - self.settings.burst as f64);
        }
        worst
    }

    /// Returns the share of the requests within the rate that were refused.
    pub fn refused_share(&self) -> f64 {
        self.refused_within_rate as f64 / (self.within_rate.max(1)) as f64
    }

    /// Forgets the requests counted so far.
    pub fn reset_counts(&mut self) {
        (self.within_rate, self.refused_within_rate, self.exchanges) = (0, 0, 0);
    }

    fn take_central(&mut self) -> bool {
        let rate_per_ms = self.limit.rate.0 as f64 / 1e6;
        let earned = (self.now_ms - self.central_at_ms) as f64 * rate_per_ms;
        self.central_at_ms = self.now_ms;
        self.central_tokens = (self.central_tokens + earned).min(self.limit.burst.0 as f64);
        let within = self.central_tokens >= 1.0;
        self.central_tokens -= f64::from(u8::from(within));
        within
    }

    fn shard(&self) -> TokenShard {
        TokenShard::of(&self.limit.tenant, self.limit.burst)
    }

    fn clock(&self, index: usize) -> TimeUs {
        let node = &self.nodes[index];
        TimeUs(node.clock_offset_us + (self.now_ms as f64 * 1e3 * node.clock_speed) as u64)
    }

    fn is_running(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        self.now_ms >= node.suspended_until_ms && self.now_ms >= node.down_until_ms
    }

    fn is_connected(&self, from: usize, to: usize) -> bool {
        let (from_zone, to_zone) = (self.nodes[from].zone, self.nodes[to].zone);
        let cut_by_zone =
            from_zone != to_zone && (self.cut_zones.contains(&from_zone) || self.cut_zones.contains(&to_zone));
        !cut_by_zone && !self.cut_nodes.contains(&from) && !self.cut_nodes.contains(&to)
    }

    fn prepare_pool(&mut self, index: usize) {
        let now = self.clock(index);
        let (nodes, limit) = (self.nodes.len(), self.limit.clone());
        self.nodes[index].pool.set_fleet_size(nodes, SLACK_TOKENS, now);
        self.nodes[index].pool.set_limits(&[limit], now);
    }

    fn send_status(&mut self, index: usize) {
        let now = self.clock(index);
        let total = self.nodes.len();
        let zone = self.nodes[index].zone;
        let zones: Vec<usize> = self.nodes.iter().map(|node| node.zone).collect();
        let node = &mut self.nodes[index];
        let fresh = node.peers.iter().filter(|(_, peer)| now.ms_since(peer.last_seen) < LESSEE_TIMEOUT_MS);
        let mut candidates: Vec<IssuerCandidate> =
            fresh.map(|(peer, view)| IssuerCandidate { node: view.node, in_own_zone: zones[*peer] == zone }).collect();
        candidates.push(IssuerCandidate { node: node.id, in_own_zone: true });
        let hears = |peer: &usize| node.peers.get(peer).is_some_and(|peer| peer.has_heard_this_run);
        let others: Vec<usize> = (0..total).filter(|other| *other != index).collect();
        let all_heard = others.iter().all(hears);
        let zone_heard = others.iter().filter(|other| zones[**other] == zone).all(hears);
        if node.first_start || all_heard || self.settings.breakage == Breakage::RestartWithoutWaiting {
            node.right.set_usable_from(now, false);
        }
        if zone_heard {
            node.right.set_usable_from(now, true);
        }
        node.right.set_usable_from(IssuingRight::earlier_leases_end(node.started_at), false);
        let issuers = node.right.renew(node.id, &candidates, now);
        node.pool.set_own_rights(&node.right, node.id, now);
        let id = node.id;
        for other in (0..total).filter(|other| *other != index) {
            let lost = self.rng.random::<f64>() < self.settings.loss_probability;
            let down = self.now_ms < self.nodes[other].down_until_ms;
            if lost || down || !self.is_connected(index, other) {
                continue;
            }
            let echo = self.nodes[index].peers.get(&other).map(|peer| peer.stamp);
            self.nodes[other].inbox.push(Status { from: index, node: id, stamp: now, echo, issuers });
        }
    }

    fn apply_status(&mut self, index: usize, status: Status) {
        let now = self.clock(index);
        let breakage = self.settings.breakage;
        let node = &mut self.nodes[index];
        let known = node.peers.get(&status.from);
        if let Some(replaced) = known.map(|peer| peer.node).filter(|known| *known != status.node) {
            node.right.end_leases_to(replaced);
            node.pool.remove_lessor(replaced, now);
        }
        let heard_before = known.is_some_and(|peer| peer.node == status.node && peer.has_heard_this_run);
        let has_heard_this_run = heard_before || status.echo.is_some_and(|echo| echo >= node.started_at);
        let view = PeerView {
            node: status.node,
            stamp: status.stamp,
            last_seen: now,
            issuers: status.issuers,
            has_heard_this_run,
        };
        node.peers.insert(status.from, view);
        if let Some(echo) = status.echo {
            let echo = if breakage == Breakage::LeasesOutliveTheirEnd { now.plus_ms(20_000) } else { echo };
            node.pool.record_leases(status.node, ShardSet::issued_by(&status.issuers, node.id), echo, now);
        }
    }

    fn take(&mut self, index: usize) -> bool {
        let requested_at = self.clock(index);
        match self.nodes[index].pool.take(&tenant(), requested_at) {
            TokenDecision::Granted => true,
            TokenDecision::Denied { .. } => false,
            TokenDecision::AskIssuer { shard, ahead } => {
                let issuer = self.nodes[index].right.issuer(shard);
                let (granted, denied_ms) = self.ask(index, issuer, shard, ahead);
                let now = self.clock(index);
                let pool = &mut self.nodes[index].pool;
                pool.take_granted(&tenant(), granted, denied_ms, requested_at, now) == TokenDecision::Granted
            }
        }
    }

    fn ask(&mut self, index: usize, issuer: Option<VmId>, shard: TokenShard, ahead: u32) -> (f64, u64) {
        let issuer = issuer.and_then(|id| self.index_of(id)).unwrap_or(index);
        if issuer == index {
            return self.issue(index, ahead);
        }
        self.exchanges += 1;
        let target = if self.is_reachable(index, issuer) {
            Some(issuer)
        } else {
            let others = self.issuers_known_to(index, shard, issuer);
            others.choose(&mut self.rng).copied().filter(|other| self.is_reachable(index, *other))
        };
        let Some(target) = target else { return (0.0, 1_000) };
        let (granted, denied_ms) = self.issue(target, ahead);
        let response_lost = self.rng.random::<f64>() < self.settings.loss_probability;
        if response_lost { (0.0, 1_000) } else { (granted, denied_ms) }
    }

    fn issue(&mut self, index: usize, ahead: u32) -> (f64, u64) {
        let now = self.clock(index);
        let issued = self.nodes[index].pool.issue(&tenant(), ahead, now);
        if issued >= 1.0 {
            return (issued, 0);
        }
        let mut others = self.issuers_known_to(index, self.shard(), index);
        others.shuffle(&mut self.rng);
        for other in others.into_iter().take(MAX_ISSUERS_ASKED) {
            let Some(need) = self.nodes[index].pool.need(&tenant(), now) else { break };
            self.exchanges += 1;
            if !self.is_reachable(index, other) {
                break;
            }
            let other_now = self.clock(other);
            let pool = &mut self.nodes[other].pool;
            let yielded = pool.yield_tokens(&tenant(), need, other_now);
            if self.settings.breakage == Breakage::YieldedTokensKept {
                pool.receive_yielded(&tenant(), yielded, other_now, other_now);
            }
            if self.rng.random::<f64>() >= self.settings.loss_probability {
                self.nodes[index].pool.receive_yielded(&tenant(), yielded, now, now);
            }
        }
        let pool = &mut self.nodes[index].pool;
        if pool.need(&tenant(), now).is_some() {
            pool.record_denial(&tenant(), now);
        }
        let issued = pool.issue(&tenant(), ahead, now);
        let denied_ms = if issued < 1.0 { pool.next_return_ms(&tenant(), now) } else { 0 };
        (issued, denied_ms)
    }

    fn index_of(&self, id: VmId) -> Option<usize> {
        self.nodes.iter().position(|node| node.id == id)
    }

    fn is_reachable(&self, from: usize, to: usize) -> bool {
        self.is_running(to) && self.is_connected(from, to)
    }

    /// Returns the issuers that live peers of a node name in their status.
    fn issuers_known_to(&self, index: usize, shard: TokenShard, excluded: usize) -> Vec<usize> {
        let now = self.clock(index);
        let live = self.nodes[index].peers.values().filter(|peer| now.ms_since(peer.last_seen) < LIVE_TIMEOUT_MS);
        let mut issuers: Vec<usize> =
            live.filter_map(|peer| peer.issuers[shard.index()]).filter_map(|id| self.index_of(id)).collect();
        issuers.sort_unstable();
        issuers.dedup();
        issuers.retain(|issuer| *issuer != excluded && *issuer != index);
        issuers
    }
}
