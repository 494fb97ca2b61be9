//! Reads a backend's settings from the JSON text that the simulator sends at its start.

use std::time::Duration;

use serde::Deserialize;
use swiftwinch::{Class, Dependency, Effect, Preemption, Settings, Signal};

use crate::wire::Malformed;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Params {
    services: Vec<Service>,
    specifics: Specifics,
    safety: Safety,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    tenants: Vec<Tenant>,
    #[serde(default)]
    counted_by: String,
    #[serde(default = "one")]
    over_share_worth: f64,
    #[serde(default)]
    servers: u32,
    #[serde(default)]
    tick: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Service {
    slo: u64,
    deadline: u64,
    #[serde(default)]
    aim_stretch: f64,
    effect: String,
    #[serde(default)]
    window: u64,
    #[serde(default = "one")]
    worth: f64,
    #[serde(default)]
    late_worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Specifics {
    cores: u32,
    memory_kb: f64,
    #[serde(default = "one")]
    run_factor: f64,
    #[serde(default)]
    entry_kb: f64,
    #[serde(default)]
    depends_on: String,
    #[serde(default)]
    callers: u32,
    #[serde(default)]
    calls_out: f64,
    #[serde(default)]
    share_span: u64,
    #[serde(default)]
    stays_for: u64,
    #[serde(default)]
    class_calls: Vec<bool>,
    #[serde(default)]
    class_skip_worth: Vec<f64>,
    #[serde(default)]
    fresh: u64,
    #[serde(default)]
    gauges: Vec<String>,
    #[serde(default)]
    idle: u64,
    #[serde(default)]
    just_started: bool,
    #[serde(default)]
    passes_deadline: bool,
    #[serde(default)]
    preemption: String,
    #[serde(default)]
    signal: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Safety {
    #[serde(default = "one")]
    cold_share: f64,
    drain_grace: u64,
    fall_multiple: f64,
    #[serde(default)]
    warm_after: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Limits {
    max_retry_after: u64,
    retry_after: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Tenant {
    #[serde(default)]
    quota_per_s: f64,
}

fn one() -> f64 {
    1.0
}

/// The settings and the names of the gauges, in their order.
pub fn parse(text: &str) -> Result<(Settings, Vec<String>), Malformed> {
    let params: Params = serde_json::from_str(text).map_err(|e| Malformed(format!("settings: {e}")))?;
    let specifics = &params.specifics;
    let classes = params
        .services
        .iter()
        .enumerate()
        .map(|(i, service)| class(service, i, specifics))
        .collect::<Result<_, _>>()?;
    let settings = Settings {
        classes,
        tenant_quotas: params.tenants.iter().map(|t| t.quota_per_s).collect(),
        over_quota_worth: params.over_share_worth,
        worth_by_work: params.counted_by == "work",
        servers: params.servers,
        callers: specifics.callers,
        cores: specifics.cores,
        memory_kb: specifics.memory_kb,
        run_factor: specifics.run_factor,
        entry_kb: specifics.entry_kb,
        dependency: dependency(specifics)?,
        preemption: preemption(&specifics.preemption)?,
        signal: signal(&specifics.signal)?,
        fresh: Duration::from_micros(specifics.fresh),
        cold: specifics.just_started,
        cold_share: params.safety.cold_share,
        warm_after: Duration::from_micros(params.safety.warm_after),
        passes_patience: specifics.passes_deadline,
        idle: Duration::from_micros(specifics.idle),
        retry_after: params.limits.retry_after,
        max_retry_after: Duration::from_micros(params.limits.max_retry_after),
        drain_grace: Duration::from_micros(params.safety.drain_grace),
        crowd_per_core: params.safety.fall_multiple,
        tick: Duration::from_micros(params.tick),
    };
    Ok((settings, params.specifics.gauges))
}

fn class(service: &Service, position: usize, specifics: &Specifics) -> Result<Class, Malformed> {
    Ok(Class {
        aim: Duration::from_micros(service.slo),
        aim_stretch: service.aim_stretch,
        deadline: Duration::from_micros(service.deadline),
        effect: match service.effect.as_str() {
            "repeatable" => Effect::Repeatable,
            "by_key" => Effect::Keyed,
            "once" => Effect::Once,
            other => return unknown("effect", other),
        },
        window: Duration::from_micros(service.window),
        worth: service.worth,
        late_worth: service.late_worth,
        calls: specifics.class_calls.get(position).copied().unwrap_or(false),
        skip_worth: specifics.class_skip_worth.get(position).copied().unwrap_or(0.0),
    })
}

fn dependency(specifics: &Specifics) -> Result<Dependency, Malformed> {
    match specifics.depends_on.as_str() {
        "" | "off" => Ok(Dependency::Off),
        "shared" => Ok(Dependency::Shared {
            share: specifics.calls_out,
            span: Duration::from_micros(specifics.share_span),
            linger: Duration::from_micros(specifics.stays_for),
        }),
        "tier" => Ok(Dependency::Tier),
        other => unknown("dependsOn", other),
    }
}

fn preemption(word: &str) -> Result<Preemption, Malformed> {
    match word {
        "" | "off" => Ok(Preemption::Off),
        "drop" => Ok(Preemption::Drop),
        "pause" => Ok(Preemption::Pause),
        other => unknown("preemption", other),
    }
}

fn signal(word: &str) -> Result<Signal, Malformed> {
    match word {
        "" | "off" => Ok(Signal::Off),
        "level" => Ok(Signal::Level),
        "credit" => Ok(Signal::Credit),
        "weight" => Ok(Signal::Weight),
        other => unknown("signal", other),
    }
}

fn unknown<T>(key: &str, word: &str) -> Result<T, Malformed> {
    Err(Malformed(format!("settings: {key} has the unknown value {word:?}")))
}

#[cfg(test)]
mod tests {
    use super::*;

    const SMALL: &str = r#"{"services": [{"slo": 100, "deadline": 400, "effect": "by_key",
        "window": 900, "surprise": [1]}], "specifics": {"cores": 2, "memoryKb": 64.5,
        "dependsOn": "shared", "callsOut": 0.5, "signal": "level", "classCalls": [true]},
        "safety": {"answerSlack": 9, "drainGrace": 8, "fallMultiple": 3, "overloadFor": 7},
        "unheardOf": {}}"#;

    #[test]
    fn reads_what_it_knows_and_skips_the_rest() {
        let (settings, _) = parse(SMALL).unwrap();
        assert_eq!(settings.cores, 2);
        assert_eq!(settings.signal, Signal::Level);
        assert_eq!(settings.classes[0].effect, Effect::Keyed);
        assert!(settings.classes[0].calls);
        assert!(matches!(settings.dependency, Dependency::Shared { share, .. } if share == 0.5));
    }

    #[test]
    fn says_what_is_missing_or_unknown() {
        let missing = SMALL.replace(r#""cores": 2, "#, "");
        assert!(parse(&missing).unwrap_err().to_string().contains("cores"));
        let odd = SMALL.replace("by_key", "sometimes");
        assert!(parse(&odd).unwrap_err().to_string().contains("sometimes"));
        assert!(parse("{").is_err());
    }
}
