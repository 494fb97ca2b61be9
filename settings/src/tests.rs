use super::*;

const SMALL_SETTINGS: &str = r#"{"services": [{"slo": 100, "deadline": 400, "effect": "by_key",
    "window": 900, "surprise": [1]}], "specifics": {"cores": 2, "memoryKb": 64.5,
    "dependsOn": "shared", "callsOut": 0.5, "signal": "level", "classCalls": [true]},
    "safety": {"answerSlack": 9, "drainGrace": 8, "fallMultiple": 3, "overloadFor": 7},
    "unheardOf": {}}"#;

#[test]
fn reads_known_keys_and_ignores_unknown_ones() {
    let settings = parse(SMALL_SETTINGS).unwrap().settings;
    assert_eq!(settings.cores, 2);
    assert_eq!(settings.signal, Signal::MinRank);
    assert_eq!(settings.classes[0].effect, Effect::IdempotencyKey);
    assert!(settings.classes[0].may_call);
    assert!(matches!(settings.dependency, Dependency::Shared { share, .. } if share == 0.5));
}

#[test]
fn errors_name_the_missing_key_or_unknown_value() {
    let missing = SMALL_SETTINGS.replace(r#""cores": 2, "#, "");
    assert!(parse(&missing).unwrap_err().to_string().contains("cores"));
    let unknown_effect = SMALL_SETTINGS.replace("by_key", "sometimes");
    assert!(parse(&unknown_effect).unwrap_err().to_string().contains("sometimes"));
    assert!(parse("{").is_err());
}

#[test]
fn a_reload_keeps_positions_of_known_names_and_retires_absent_names() {
    let named = |names: [&str; 2]| {
        let mut parsed = parse(SMALL_SETTINGS).unwrap();
        parsed.classes = names.map(String::from).to_vec();
        parsed.settings.classes = vec![parsed.settings.classes[0].clone(); 2];
        parsed.settings.classes[1].weight = 7.0;
        parsed
    };
    let reloaded = named(["a", "b"]).reloaded_with(named(["c", "a"])).unwrap();
    assert_eq!(reloaded.classes, ["a", "b", "c"]);
    assert_eq!(reloaded.retired_classes, [1]);
    let weights: Vec<f64> = reloaded.settings.classes.iter().map(|class| class.weight).collect();
    assert_eq!(weights, [7.0, 7.0, 1.0]);
    let restored = reloaded.reloaded_with(named(["b", "x"])).unwrap();
    assert_eq!((restored.classes.len(), restored.retired_classes), (4, vec![0, 2]));
}

#[test]
fn gauges_are_selected_by_name() {
    let names = ["mem_used", "runnable", "cpu_busy"].map(String::from);
    let selected = gauges(&names, &[0.5, 7.0, 0.25]);
    assert_eq!((selected.runnable, selected.utilization), (Some(7.0), Some(0.25)));
}
