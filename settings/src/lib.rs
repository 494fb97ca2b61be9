//! Reads the settings of the admission module from JSON: the text that the simulator sends when a backend starts, and the
//! object under `settings` in a node's configuration. Unknown keys are ignored. Times are in microseconds.

mod error;
mod json;
mod positions;

use std::time::Duration;

use oakwind_admission::{Class, Dependency, Effect, Gauges, Preemption, Settings, Signal};

pub use error::SettingsError;
use json::{Params, Service, Specifics};
use positions::Positions;

/// Settings, with the names of the listed items in the order of their positions.
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

impl Parsed {
    /// The settings that replace `self` at a reload: classes and tenants with a known name keep its position, those
    /// that are left out are retired, and new ones come after them.
    ///
    /// # Errors
    ///
    /// If there would be more than 1,000 names of a kind.
    pub fn followed_by(&self, new: Parsed) -> Result<Parsed, SettingsError> {
        let classes = Positions::merge(
            "services",
            &self.classes,
            &self.settings.classes,
            new.classes,
            new.settings.classes,
        )?;
        let tenants = Positions::merge(
            "tenants",
            &self.tenants,
            &self.settings.tenant_quotas,
            new.tenants,
            new.settings.tenant_quotas,
        )?;
        Ok(Parsed {
            settings: Settings { classes: classes.values, tenant_quotas: tenants.values, ..new.settings },
            gauges: new.gauges,
            classes: classes.names,
            tenants: tenants.names,
            retired_classes: classes.retired,
            retired_tenants: tenants.retired,
        })
    }
}

/// Reads settings from JSON.
///
/// # Errors
///
/// If the text is no JSON, a key is missing or has a value that cannot be used.
pub fn parse(text: &str) -> Result<Parsed, SettingsError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let params: Params = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| SettingsError::InvalidJson(error.to_string()))?;
    json.end().map_err(|error| SettingsError::InvalidJson(error.to_string()))?;
    let settings = settings(&params)?;
    Ok(Parsed {
        settings,
        gauges: params.specifics.gauges,
        classes: params.services.into_iter().map(|service| service.name).collect(),
        tenants: params.tenants.into_iter().map(|tenant| tenant.name).collect(),
        retired_classes: Vec::new(),
        retired_tenants: Vec::new(),
    })
}

fn settings(params: &Params) -> Result<Settings, SettingsError> {
    let specifics = &params.specifics;
    let classes = params
        .services
        .iter()
        .enumerate()
        .map(|(position, service)| class(service, position, specifics))
        .collect::<Result<_, _>>()?;
    Ok(Settings {
        classes,
        tenant_quotas: params.tenants.iter().map(|tenant| tenant.quota_per_s).collect(),
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
    })
}

fn class(service: &Service, position: usize, specifics: &Specifics) -> Result<Class, SettingsError> {
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

fn dependency(specifics: &Specifics) -> Result<Dependency, SettingsError> {
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

fn preemption(value: &str) -> Result<Preemption, SettingsError> {
    match value {
        "" | "off" => Ok(Preemption::Off),
        "drop" => Ok(Preemption::Drop),
        "pause" => Ok(Preemption::Pause),
        other => unknown("preemption", other),
    }
}

fn signal(value: &str) -> Result<Signal, SettingsError> {
    match value {
        "" | "off" => Ok(Signal::Off),
        "level" => Ok(Signal::Level),
        "credit" => Ok(Signal::Credit),
        "weight" => Ok(Signal::Weight),
        other => unknown("signal", other),
    }
}

/// The error for a value that is not one of the words known for `key`.
fn unknown<T>(key: &'static str, value: &str) -> Result<T, SettingsError> {
    Err(SettingsError::UnknownValue { key, value: value.to_owned() })
}

/// The gauges that the admission module uses: `values` in the order of `names`, which the settings list.
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
