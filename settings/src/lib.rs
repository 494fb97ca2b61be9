//! Reads the settings of the admission module from JSON: the text that the simulator sends at a start, and the object
//! under `settings` in a node's configuration. Unknown keys are ignored. Times are in microseconds.

use std::fmt;
use std::time::Duration;

use oakwind_admission::{Class, Dependency, Effect, Gauges, Preemption, Settings, Signal};
use serde::Deserialize;

/// The settings cannot be used; the message names the key.
#[derive(Debug, PartialEq, Eq)]
pub struct BadSettings(pub String);

impl fmt::Display for BadSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for BadSettings {}

/// The settings, and the names of what they list, each in the order of its positions.
#[derive(Debug, Clone, PartialEq)]
pub struct Parsed {
    /// The settings of the admission module.
    pub settings: Settings,
    /// The names of the gauges.
    pub gauges: Vec<String>,
    /// The names of the classes.
    pub classes: Vec<String>,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// Positions of classes that newer settings left out: open requests still refer to them.
    pub retired_classes: Vec<usize>,
    /// Positions of tenants that newer settings left out.
    pub retired_tenants: Vec<usize>,
}

/// Names that may get a position in one process, so that settings which bring new names at each reload do not use up
/// its memory.
const MAX_NAMES: usize = 1000;

impl Parsed {
    /// The settings that replace `self` at a reload: classes and tenants with a known name keep its position, those
    /// that are left out are retired, and new ones come after them.
    ///
    /// # Errors
    ///
    /// If there would be more than 1,000 names of a kind.
    pub fn followed_by(&self, mut new: Parsed) -> Result<Parsed, BadSettings> {
        let values = std::mem::take(&mut new.settings.classes);
        (new.classes, new.settings.classes, new.retired_classes) =
            merge("services", (&self.classes, &self.settings.classes), new.classes, values)?;
        let quotas = std::mem::take(&mut new.settings.tenant_quotas);
        (new.tenants, new.settings.tenant_quotas, new.retired_tenants) =
            merge("tenants", (&self.tenants, &self.settings.tenant_quotas), new.tenants, quotas)?;
        Ok(new)
    }
}

/// Names and values by position, and the positions that are retired.
type Merged<T> = (Vec<String>, Vec<T>, Vec<usize>);

fn merge<T: Clone>(
    key: &str,
    (names, values): (&[String], &[T]),
    new_names: Vec<String>,
    new_values: Vec<T>,
) -> Result<Merged<T>, BadSettings> {
    let (mut names, mut values) = (names.to_vec(), values.to_vec());
    let mut retired: Vec<usize> = (0..names.len()).collect();
    for (name, value) in new_names.into_iter().zip(new_values) {
        if let Some(position) = names.iter().position(|known| *known == name) {
            values[position] = value;
            retired.retain(|retired| *retired != position);
        } else {
            names.push(name);
            values.push(value);
        }
    }
    if names.len() > MAX_NAMES {
        return Err(BadSettings(format!("{key}: over {MAX_NAMES} names since the start")));
    }
    Ok((names, values, retired))
}

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
    #[serde(default)]
    name: String,
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
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

fn one() -> f64 {
    1.0
}

/// Reads settings from JSON.
///
/// # Errors
///
/// If the text is no JSON, a key is missing or has a value that cannot be used.
pub fn parse(text: &str) -> Result<Parsed, BadSettings> {
    let mut json = serde_json::Deserializer::from_str(text);
    let params: Params =
        serde_path_to_error::deserialize(&mut json).map_err(|e| BadSettings(e.to_string()))?;
    json.end().map_err(|e| BadSettings(e.to_string()))?;
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
        over_quota_weight: params.over_share_worth,
        weight_by_work: params.counted_by == "work",
        servers: params.servers,
        callers: specifics.callers,
        cores: specifics.cores,
        memory_kb: specifics.memory_kb,
        running_memory_factor: specifics.run_factor,
        key_memory_kb: specifics.entry_kb,
        dependency: dependency(specifics)?,
        preemption: preemption(&specifics.preemption)?,
        signal: signal(&specifics.signal)?,
        response_reuse: Duration::from_micros(specifics.fresh),
        cold: specifics.just_started,
        cold_speed: params.safety.cold_share,
        warm_up_time: Duration::from_micros(params.safety.warm_after),
        sends_deadline: specifics.passes_deadline,
        idle: Duration::from_micros(specifics.idle),
        retry_after: params.limits.retry_after,
        max_retry_after: Duration::from_micros(params.limits.max_retry_after),
        drain_grace: Duration::from_micros(params.safety.drain_grace),
        max_concurrency_per_core: params.safety.fall_multiple,
        tick: Duration::from_micros(params.tick),
    };
    Ok(Parsed {
        settings,
        gauges: params.specifics.gauges,
        classes: params.services.into_iter().map(|s| s.name).collect(),
        tenants: params.tenants.into_iter().map(|t| t.name).collect(),
        retired_classes: Vec::new(),
        retired_tenants: Vec::new(),
    })
}

fn class(service: &Service, position: usize, specifics: &Specifics) -> Result<Class, BadSettings> {
    Ok(Class {
        latency_objective: Duration::from_micros(service.slo),
        objective_stretch: service.aim_stretch,
        deadline: Duration::from_micros(service.deadline),
        effect: match service.effect.as_str() {
            "repeatable" => Effect::Idempotent,
            "by_key" => Effect::IdempotencyKey,
            "once" => Effect::AtMostOnce,
            other => return unknown("effect", other),
        },
        window: Duration::from_micros(service.window),
        weight: service.worth,
        late_weight: service.late_worth,
        calls: specifics.class_calls.get(position).copied().unwrap_or(false),
        skip_weight: specifics.class_skip_worth.get(position).copied().unwrap_or(0.0),
    })
}

fn dependency(specifics: &Specifics) -> Result<Dependency, BadSettings> {
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

fn preemption(word: &str) -> Result<Preemption, BadSettings> {
    match word {
        "" | "off" => Ok(Preemption::Off),
        "drop" => Ok(Preemption::Drop),
        "pause" => Ok(Preemption::Pause),
        other => unknown("preemption", other),
    }
}

fn signal(word: &str) -> Result<Signal, BadSettings> {
    match word {
        "" | "off" => Ok(Signal::Off),
        "level" => Ok(Signal::Level),
        "credit" => Ok(Signal::Credit),
        "weight" => Ok(Signal::Weight),
        other => unknown("signal", other),
    }
}

fn unknown<T>(key: &str, word: &str) -> Result<T, BadSettings> {
    Err(BadSettings(format!("{key} has the unknown value {word:?}")))
}

/// The gauges that the admission module uses, picked by the names that the settings give them.
pub fn gauges(names: &[String], values: &[f64]) -> Gauges {
    let mut gauges = Gauges::default();
    for (name, &value) in names.iter().zip(values) {
        match name.as_str() {
            "cpu_busy" => gauges.busy = Some(value),
            "runnable" => gauges.runnable = Some(value),
            _ => {}
        }
    }
    gauges
}

#[cfg(test)]
mod tests;
