//! Wire format of the settings, as used by the first message of the simulator's line protocol and by the
//! platform's configuration of a courier.

use crate::interface::*;
use serde::Deserialize;
use std::time::Duration;

/// The settings as written outside.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SettingsDocument {
    #[serde(default)]
    costs: Costs,
    #[serde(default)]
    customers: Vec<serde_json::Value>,
    #[serde(default)]
    dcs: Vec<String>,
    family_info: FamilyInfo,
    lanes: Vec<Lane>,
    limits: Limits,
    #[serde(default)]
    membership_mode: String,
    rules: Rules,
    #[serde(default)]
    siblings: usize,
    #[serde(default)]
    skus: Vec<String>,
    #[serde(default)]
    tick_ns: i64,
    #[serde(default)]
    weight_kind: String,
}

#[derive(Deserialize, Default)]
struct Costs {
    #[serde(default)]
    handshake: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct FamilyInfo {
    #[serde(default)]
    bundle_max: Vec<usize>,
    #[serde(default)]
    fee_by_zone: Vec<f64>,
    #[serde(default)]
    loses_worth: String,
    #[serde(default)]
    separate_routes: Vec<bool>,
    slots: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Lane {
    #[serde(default)]
    name: String,
    aim_ns: i64,
    #[serde(default)]
    aim_stretch: f64,
    credit: f64,
    deadline_ns: i64,
    effect: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default)]
    key_ttl_ns: i64,
    #[serde(default)]
    late_share: f64,
    #[serde(default)]
    by_arrival: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Limits {
    connect_timeout_ns: i64,
    keepalive_ns: i64,
    max_open: usize,
    #[serde(default)]
    probing: bool,
    #[serde(default)]
    cancel: bool,
    send_cap: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    cold_from: f64,
    cold_ns: i64,
    drain_grace_ns: i64,
    fall_multiple: f64,
    fall_ns: i64,
    #[serde(default)]
    order_pause_ns: i64,
}

fn non_negative_duration(ns: i64, name: &str) -> Result<Duration, String> {
    u64::try_from(ns).map(Duration::from_nanos).map_err(|_| format!("{name} is negative"))
}

impl SettingsDocument {
    /// Names of the classes, by class number.
    pub fn class_names(&self) -> impl Iterator<Item = &str> {
        self.lanes.iter().map(|l| l.name.as_str())
    }

    /// Names of the zones, by zone number.
    pub fn zone_names(&self) -> &[String] {
        &self.dcs
    }

    /// Names of the kinds of destination, by kind number.
    pub fn kind_names(&self) -> &[String] {
        &self.skus
    }

    /// Converts to [`Settings`].
    ///
    /// # Errors
    /// Names the setting that is not valid.
    pub fn settings(&self) -> Result<Settings, String> {
        let conf = self;
        let mut classes = Vec::new();
        for lane in &conf.lanes {
            let effect = match lane.effect.as_str() {
                "repeatable" => Effect::Repeatable,
                "by_key" => Effect::Keyed {
                    scope: match lane.key_scope.as_str() {
                        "all" => KeyScope::All,
                        "zone" => KeyScope::Zone,
                        _ => KeyScope::Endpoint,
                    },
                    window: non_negative_duration(lane.key_ttl_ns, "key-ttl-ns")?,
                },
                "once" => Effect::Once,
                other => return Err(format!("unknown effect {other}")),
            };
            classes.push(Class {
                aim: non_negative_duration(lane.aim_ns, "aim-ns")?,
                deadline: non_negative_duration(lane.deadline_ns, "deadline-ns")?,
                worth: lane.credit,
                late_share: lane.late_share,
                effect,
                ordered: lane.by_arrival,
                aim_stretch: lane.aim_stretch,
                max_attempts: None,
                refuse_keyed_only_unrun: false,
            });
        }
        let (family, limits, rules) = (&conf.family_info, &conf.limits, &conf.rules);
        let count = conf.skus.len().max(family.bundle_max.len()).max(family.separate_routes.len()).max(1);
        let kind = |k| DestinationKind {
            separate_routes: family.separate_routes.get(k).copied().unwrap_or(false),
            max_bundle_size: family.bundle_max.get(k).copied().unwrap_or(1),
        };
        Ok(Settings {
            courier_count: conf.siblings,
            classes,
            kinds: (0..count).map(kind).collect(),
            tenant_count: conf.customers.len(),
            max_calls_in_flight: family.slots,
            max_messages: limits.max_open,
            max_attempts: limits.send_cap,
            worth_decay: if family.loses_worth == "halves" {
                WorthDecay::Halving
            } else {
                WorthDecay::Linear
            },
            handshake_cost: conf.costs.handshake,
            zone_fees: (0..conf.dcs.len().max(family.fee_by_zone.len()))
                .map(|z| family.fee_by_zone.get(z).copied().unwrap_or(0.0))
                .collect(),
            weight_kind: match conf.weight_kind.as_str() {
                "nominal" => WeightKind::Nominal,
                "rough" => WeightKind::Approximate,
                _ => WeightKind::None,
            },
            connect_timeout: non_negative_duration(limits.connect_timeout_ns, "connect-timeout-ns")?,
            keepalive: non_negative_duration(limits.keepalive_ns, "keepalive-ns")?,
            probing_enabled: limits.probing,
            cancellation_enabled: limits.cancel,
            subscription_required: conf.membership_mode == "subscribe",
            membership_lease_duration: None,
            tick: non_negative_duration(conf.tick_ns, "tick-ns")?,
            drain_grace: non_negative_duration(rules.drain_grace_ns, "drain-grace-ns")?,
            slow_start_min_share: rules.cold_from,
            slow_start_duration: non_negative_duration(rules.cold_ns, "cold-ns")?,
            overload_multiple: rules.fall_multiple,
            overload_duration: non_negative_duration(rules.fall_ns, "fall-ns")?,
            order_pause: non_negative_duration(rules.order_pause_ns, "order-pause-ns")?,
        })
    }
}
