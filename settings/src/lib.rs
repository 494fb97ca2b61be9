//! Reads the settings of the admission module from JSON: the text that the simulator sends when a backend starts, and the
//! object under `settings` in a node's configuration. Unknown keys are ignored. Times are in microseconds.

mod error;
mod json;
mod positions;

use std::time::Duration;

use oakwind_admission::{Class, Dependency, Effect, Gauges, Preemption, Settings, Signal};

pub use error::SettingsError;
use json::{ClassJson, ServerJson, SettingsJson};
use positions::Positions;

/// Settings together with the names of gauges, classes and tenants, indexed by position.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedSettings {
    /// The settings of the admission module.
    pub settings: Settings,
    /// Names of the gauges, in the order of the values that are reported.
    pub gauges: Vec<String>,
    /// Names of the classes, in the order of `settings.classes`.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of `settings.tenant_quotas`.
    pub tenants: Vec<String>,
    /// Positions of classes that the newest settings no longer list. They are kept because open requests refer to them.
    pub retired_classes: Vec<usize>,
    /// Positions of tenants that the newest settings no longer list.
    pub retired_tenants: Vec<usize>,
}

/// Time for which keys are remembered beyond the window in the settings, as the clocks of callers differ.
const WINDOW_MARGIN: Duration = Duration::from_secs(1);

impl NamedSettings {
    /// Returns the longest time for which any idempotency key is remembered, including a margin.
    pub fn max_idempotency_window(&self) -> Duration {
        let classes = self.settings.classes.iter();
        let longest =
            classes.map(|class| class.idempotency_window.max(class.deadline)).max().unwrap_or_default();
        longest + WINDOW_MARGIN
    }

    /// Returns the settings that replace `self` at a reload: classes and tenants with a known name keep their position,
    /// absent ones are retired, and new ones are appended.
    ///
    /// # Errors
    ///
    /// If classes or tenants would have had more than 1,000 different names since the process started.
    pub fn reloaded_with(&self, new: NamedSettings) -> Result<NamedSettings, SettingsError> {
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
        Ok(NamedSettings {
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
/// If the text is not JSON, a key is missing, or a value has the wrong type or is not one of its keywords.
pub fn parse(text: &str) -> Result<NamedSettings, SettingsError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let json: SettingsJson = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| SettingsError::InvalidJson(error.to_string()))?;
    deserializer.end().map_err(|error| SettingsError::InvalidJson(error.to_string()))?;
    let settings = settings(&json)?;
    Ok(NamedSettings {
        settings,
        gauges: json.specifics.gauges,
        classes: json.classes.into_iter().map(|class| class.name).collect(),
        tenants: json.tenants.into_iter().map(|tenant| tenant.name).collect(),
        retired_classes: Vec::new(),
        retired_tenants: Vec::new(),
    })
}

fn settings(json: &SettingsJson) -> Result<Settings, SettingsError> {
    let server = &json.specifics;
    let classes = json
        .classes
        .iter()
        .enumerate()
        .map(|(position, class_json)| class(class_json, position, server))
        .collect::<Result<_, _>>()?;
    Ok(Settings {
        classes,
        tenant_quotas: json.tenants.iter().map(|tenant| tenant.quota_per_s).collect(),
        over_quota_weight: json.over_quota_weight,
        weight_by_work: json.weight_unit == "work",
        servers: json.servers,
        callers: server.callers,
        cores: server.cores,
        memory_kb: server.memory_kb,
        running_memory_factor: server.running_memory_factor,
        key_memory_kb: server.key_memory_kb,
        dependency: dependency(server)?,
        preemption: preemption(&server.preemption)?,
        signal: signal(&server.signal)?,
        response_reuse: Duration::from_micros(server.response_reuse_us),
        cold: server.is_cold,
        cold_speed: json.safety.cold_speed,
        warm_up_time: Duration::from_micros(json.safety.warm_up_time_us),
        sends_deadline: server.sends_deadline,
        idle_timeout: Duration::from_micros(server.idle_timeout_us),
        retry_after: json.limits.retry_after,
        max_retry_after: Duration::from_micros(json.limits.max_retry_after_us),
        drain_grace: Duration::from_micros(json.safety.drain_grace_us),
        max_concurrency_per_core: json.safety.max_concurrency_per_core,
        min_handle_interval: Duration::from_micros(json.min_handle_interval_us),
    })
}

fn class(class: &ClassJson, position: usize, server: &ServerJson) -> Result<Class, SettingsError> {
    Ok(Class {
        latency_objective: Duration::from_micros(class.latency_objective_us),
        objective_stretch: class.objective_stretch,
        deadline: Duration::from_micros(class.deadline_us),
        effect: effect(&class.effect)?,
        idempotency_window: Duration::from_micros(class.window_us),
        weight: class.weight,
        late_weight: class.late_weight,
        may_call: server.calls_by_class.get(position).copied().unwrap_or(false),
        skip_weight: server.skip_weight_by_class.get(position).copied().unwrap_or(0.0),
    })
}

fn effect(value: &str) -> Result<Effect, SettingsError> {
    match value {
        "repeatable" => Ok(Effect::Idempotent),
        "by_key" => Ok(Effect::IdempotencyKey),
        "once" => Ok(Effect::AtMostOnce),
        other => unknown_value("effect", other),
    }
}

fn dependency(server: &ServerJson) -> Result<Dependency, SettingsError> {
    match server.dependency.as_str() {
        "" | "off" => Ok(Dependency::Off),
        "shared" => Ok(Dependency::Shared {
            share: server.dependency_share,
            averaging_time: Duration::from_micros(server.share_span_us),
            linger: Duration::from_micros(server.linger_us),
        }),
        "tier" => Ok(Dependency::Tier),
        other => unknown_value("dependsOn", other),
    }
}

fn preemption(value: &str) -> Result<Preemption, SettingsError> {
    match value {
        "" | "off" => Ok(Preemption::Off),
        "drop" => Ok(Preemption::Drop),
        "pause" => Ok(Preemption::Pause),
        other => unknown_value("preemption", other),
    }
}

fn signal(value: &str) -> Result<Signal, SettingsError> {
    match value {
        "" | "off" => Ok(Signal::Off),
        "level" => Ok(Signal::MinRank),
        "credit" => Ok(Signal::Credit),
        "weight" => Ok(Signal::Weight),
        other => unknown_value("signal", other),
    }
}

/// Returns the error for a value that is not one of the keywords of `key`.
fn unknown_value<T>(key: &'static str, value: &str) -> Result<T, SettingsError> {
    Err(SettingsError::UnknownValue { key, value: value.to_owned() })
}

/// Selects the gauges that the admission module uses from `values`, which are in the order of `names`. Other names are
/// ignored.
pub fn gauges(names: &[String], values: &[f64]) -> Gauges {
    let mut gauges = Gauges::default();
    for (name, &value) in names.iter().zip(values) {
        match name.as_str() {
            "cpu_busy" => gauges.utilization = Some(value),
            "runnable" => gauges.runnable = Some(value),
            _ => {}
        }
    }
    gauges
}

#[cfg(test)]
mod tests;
