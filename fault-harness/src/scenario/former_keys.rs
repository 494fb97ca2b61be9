//! Former names of scenario keys. Files with former names are still read, through `serde(alias)` at each key;
//! with this table an override finds its key whether the file has the former or the present name.

/// The former and the present name of a key.
struct Renamed {
    former: &'static str,
    present: &'static str,
}

/// All renamed keys. Each of these names has the same meaning in every table, so a lookup needs no table
/// name.
const RENAMED: &[Renamed] = &[
    // Top level of a scenario.
    Renamed { former: "about", present: "description" },
    Renamed { former: "fronts", present: "frontends" },
    Renamed { former: "below", present: "dependency" },
    Renamed { former: "members", present: "registry" },
    // `[fleet.peers]`
    Renamed { former: "on", present: "enabled" },
    Renamed { former: "copies", present: "replicas" },
    Renamed { former: "later", present: "joining_nodes" },
    // `[[class]]`
    Renamed { former: "aim_ms", present: "latency_objective_ms" },
    Renamed { former: "worth", present: "weight" },
    Renamed { former: "late_worth", present: "late_weight" },
    Renamed { former: "keyed", present: "idempotency_key" },
    Renamed { former: "window_ms", present: "idempotency_window_ms" },
    Renamed { former: "calls", present: "calls_dependency" },
    Renamed { former: "skip_worth", present: "skip_weight" },
    // `[load]`
    Renamed { former: "repeats", present: "repeat_fraction" },
    // `[[load.step]]`
    Renamed { former: "times", present: "rate_factor" },
    Renamed { former: "costly", present: "costly_fraction" },
    Renamed { former: "costly_times", present: "costly_factor" },
    // `[frontends]`
    Renamed { former: "choose", present: "load_balancing" },
    Renamed { former: "walk", present: "try_next_node" },
    Renamed { former: "heed", present: "retry_after_honoured" },
    Renamed { former: "list_late_ms", present: "registry_delay_ms" },
    Renamed { former: "idle_s", present: "idle_timeout_s" },
    // `[registry]`
    Renamed { former: "lapse_s", present: "heartbeat_timeout_s" },
    // `[rules]`
    Renamed { former: "once", present: "run_once_per" },
    // `[[fault]]`
    Renamed { former: "again_s", present: "repeat_every_s" },
    Renamed { former: "for_s", present: "duration_s" },
    Renamed { former: "part", present: "fraction" },
    Renamed { former: "every_s", present: "wave_interval_s" },
    Renamed { former: "way", present: "direction" },
    Renamed { former: "old_list", present: "previous_membership" },
    // `traffic` of a `[[fault]]`
    Renamed { former: "cut", present: "disconnect" },
    Renamed { former: "silent", present: "blackhole" },
    Renamed { former: "spread_ms", present: "jitter_ms" },
];

/// Tables whose keys are names given by the author of the scenario, which are never renamed.
const TABLES_OF_NAMES: [&str; 3] = ["tenants", "programs", "clocks"];

/// The name, former or present, under which the table has this key; the present name if the table does not
/// have it.
pub(super) fn as_written(parent: Option<&str>, key: &str, table: &toml::Table) -> String {
    let is_name = parent.is_some_and(|parent| TABLES_OF_NAMES.contains(&parent));
    let renamed = RENAMED.iter().find(|renamed| renamed.former == key || renamed.present == key);
    match renamed {
        Some(renamed) if !is_name => {
            let form = if table.contains_key(renamed.former) { renamed.former } else { renamed.present };
            form.to_string()
        }
        _ => key.to_string(),
    }
}
