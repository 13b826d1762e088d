//! Control of the admission level: how much of the traffic the doors upstream should let through.

use std::collections::HashMap;

use fulmartrestle_core::{Class, TimeUs};

use super::GateSettings;
use crate::{AdmissionLevel, MAX_TENANT_SHARES, Permille, TenantHash, TenantShare};

/// How often shares are adapted. It must be longer than the way of a level to the doors and back, or
/// one overload is answered twice.
const WINDOW_US: u64 = 100_000;
/// Smallest factor of a share in one window. Larger cuts overshoot, because calls that the doors let
/// through earlier are still on their way.
const MIN_FACTOR: f64 = 0.5;
/// Factor and step with which a share rises in a window without refusals.
const RISE_FACTOR: f64 = 1.15;
const RISE_STEP: f64 = 0.02;
/// A share below this counts as nothing.
const LEAST_SHARE: f64 = 0.02;
/// How long no call of a lower class may have been offered before protected calls are cut.
const QUIET_BEFORE_PROTECTED_US: u64 = 500_000;
/// Bounds of the advice when to come back, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 200.0;
const MAX_RETRY_AFTER_MS: f64 = 5_000.0;

/// Lowers the share of the least important class that is still admitted when the gate has to shed,
/// and raises it again when it doesn't. Within the class each tenant has its own share: the fair
/// queue sheds those beyond their fair share, and so these are cut.
#[derive(Debug)]
pub(super) struct LevelControl {
    marginal: Class,
    tenants: HashMap<TenantHash, TenantRow>,
    class_share: f64,
    window_start: TimeUs,
    offered: [u32; 3],
    refused: [u32; 3],
    last_sheddable: TimeUs,
    level: AdmissionLevel,
}

#[derive(Debug)]
struct TenantRow {
    share: f64,
    offered: u32,
    refused: u32,
}

impl LevelControl {
    pub fn new(_settings: &GateSettings) -> Self {
        Self {
            marginal: Class::Browse,
            tenants: HashMap::new(),
            class_share: 1.0,
            window_start: TimeUs::default(),
            offered: [0; 3],
            refused: [0; 3],
            last_sheddable: TimeUs::default(),
            level: AdmissionLevel::default(),
        }
    }

    pub fn offered(&mut self, class: Class, tenant: TenantHash, now: TimeUs) {
        self.adapt(now);
        self.offered[class.index()] += 1;
        if class != Class::Protected {
            self.last_sheddable = now;
        }
        if class == self.marginal {
            self.tenant(tenant).offered += 1;
        }
    }

    pub fn refused(&mut self, class: Class, tenant: TenantHash, now: TimeUs) {
        self.adapt(now);
        self.refused[class.index()] += 1;
        if class == self.marginal {
            self.tenant(tenant).refused += 1;
        }
    }

    pub fn level(&mut self, now: TimeUs) -> AdmissionLevel {
        self.adapt(now);
        self.level
    }

    /// Advises a refused caller when to come back: the lower its share, the later.
    pub fn retry_after_ms(&self, class: Class, tenant: TenantHash) -> u64 {
        let share = self.level.share(class, tenant).fraction();
        (MIN_RETRY_AFTER_MS / share.max(LEAST_SHARE)).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) as u64
    }

    fn tenant(&mut self, tenant: TenantHash) -> &mut TenantRow {
        let share = self.class_share;
        self.tenants.entry(tenant).or_insert(TenantRow { share, offered: 0, refused: 0 })
    }

    fn adapt(&mut self, now: TimeUs) {
        let age_us = now.us_since(self.window_start);
        if age_us < WINDOW_US {
            return;
        }
        let quiet_windows = (age_us / WINDOW_US - 1).min(64);
        self.close_window(now, age_us);
        for _ in 0..quiet_windows {
            self.raise();
            self.move_margin(now);
        }
        self.publish(age_us);
        self.window_start = now;
        self.offered = [0; 3];
        self.refused = [0; 3];
        self.tenants.retain(|_, row| row.share < 1.0);
        for row in self.tenants.values_mut() {
            row.offered = 0;
            row.refused = 0;
        }
    }

    fn close_window(&mut self, now: TimeUs, _age_us: u64) {
        let refused: u32 = self.refused.iter().sum();
        if refused == 0 {
            self.raise();
        } else {
            self.lower();
        }
        self.move_margin(now);
    }

    fn raise(&mut self) {
        for row in self.tenants.values_mut() {
            row.share = raised(row.share);
        }
        self.class_share = raised(self.class_share);
    }

    fn lower(&mut self) {
        let margin = self.marginal.index();
        let refused_above: u32 = self.refused[margin + 1..].iter().sum();
        let spill = factor(refused_above, self.offered[margin].max(refused_above / 2));
        for row in self.tenants.values_mut() {
            let own = factor(row.refused, row.offered);
            row.share =
                if row.refused == 0 && refused_above == 0 { raised(row.share) } else { row.share * own.min(spill) };
        }
        let unlisted_refused = self.tenants.values().any(|row| row.refused > 0 && row.share >= 1.0);
        if refused_above > 0 || unlisted_refused {
            self.class_share *= spill;
        } else {
            self.class_share = raised(self.class_share);
        }
    }

    /// Moves on to the next class when the marginal one is shed or admitted whole.
    fn move_margin(&mut self, now: TimeUs) {
        let (offered, admitted) = self.tenants.values().fold((0.0, 0.0), |(offered, admitted), row| {
            let weight = f64::from(row.offered.max(1));
            (offered + weight, admitted + weight * row.share)
        });
        let mean = if offered > 0.0 { admitted / offered } else { self.class_share };
        let all_full = self.class_share >= 1.0 && self.tenants.values().all(|row| row.share >= 1.0);
        if mean < LEAST_SHARE && self.marginal != Class::Protected {
            let next = Class::ALL[self.marginal.index() + 1];
            let quiet = now.us_since(self.last_sheddable) >= QUIET_BEFORE_PROTECTED_US;
            if next != Class::Protected || quiet {
                self.start_margin(next, 1.0);
            }
        } else if all_full && self.marginal != Class::Browse {
            self.start_margin(Class::ALL[self.marginal.index() - 1], RISE_STEP);
        }
    }

    fn start_margin(&mut self, class: Class, share: f64) {
        self.marginal = class;
        self.class_share = share;
        self.tenants.clear();
    }

    fn publish(&mut self, age_us: u64) {
        let mut level = AdmissionLevel { marginal: self.marginal, ..AdmissionLevel::default() };
        for class in Class::ALL {
            let share = match class.cmp(&self.marginal) {
                std::cmp::Ordering::Less => 0.0,
                std::cmp::Ordering::Equal => self.class_share,
                std::cmp::Ordering::Greater => 1.0,
            };
            level.classes[class.index()] = published(share);
        }
        let mut shares: Vec<_> = self.tenants.iter().map(|(tenant, row)| (published(row.share), *tenant)).collect();
        shares.retain(|(share, _)| *share != level.classes[self.marginal.index()]);
        shares.sort_unstable();
        for (entry, (share, tenant)) in level.tenants.iter_mut().zip(shares.into_iter().take(MAX_TENANT_SHARES)) {
            *entry = TenantShare { tenant, share };
        }
        let offered: u32 = self.offered.iter().sum();
        level.offered_per_s = (u64::from(offered) * 1_000_000 / age_us.max(1)) as u32;
        self.level = level;
    }
}

fn published(share: f64) -> Permille {
    Permille::from_fraction(if share < LEAST_SHARE { 0.0 } else { share })
}

fn raised(share: f64) -> f64 {
    (share * RISE_FACTOR + RISE_STEP).min(1.0)
}

/// Returns the factor that removes `refused` of `offered` calls.
fn factor(refused: u32, offered: u32) -> f64 {
    if refused == 0 {
        return 1.0;
    }
    (1.0 - f64::from(refused) / f64::from(offered.max(1))).max(MIN_FACTOR)
}
