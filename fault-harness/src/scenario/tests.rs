use super::*;

/// A valid scenario with the required keys alone.
const MINIMAL: &str = "name = 'x'\nseconds = 10\n[fleet]\nnodes = 3\n[[class]]\nname = 'quote'\nshare = 1\nwork_ms = 20\nlatency_objective_ms = 100\ndeadline_ms = 300\n[load]\nrate = 50\n";

#[test]
fn every_mistake_is_reported_in_one_line_that_names_its_key() {
    let invalid = MINIMAL
        .replace("nodes = 3", "nodes = 0")
        .replace("latency_objective_ms = 100", "latency_objective_ms = 400")
        + "[[fault]]\nwhat = 'kill'\nnodes = ['n9']\nclock = '7'\n[[fault]]\nat_s = 3\nwhat = 'pause'\nfraction = 2.0\n";
    let errors = Scenario::parse(&invalid, &[]).unwrap_err();
    let mistakes: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let keys: Vec<&str> = mistakes.iter().filter_map(|line| line.split(": ").next()).collect();
    let expected = [
        "fleet.nodes",
        "class[0].latency_objective_ms",
        "fault[0].at_s",
        "fault[0].nodes",
        "fault[0].clock",
        "fault[1].fraction",
        "fault[1].duration_s",
    ];
    assert!(expected.iter().all(|key| keys.contains(key)), "{mistakes:?}");
    assert!(mistakes.iter().all(|line| line.lines().count() == 1));
}

#[test]
fn unknown_key_wrong_type_and_syntax_error_are_reported_with_their_location() {
    let error = |text: &str| Scenario::parse(text, &[]).unwrap_err().to_string();
    let unknown_key = MINIMAL.replace("nodes = 3", "nodes = 3\ncolour = 'red'");
    assert!(error(&unknown_key).starts_with("fleet"), "{}", error(&unknown_key));
    assert!(error(&MINIMAL.replace("nodes = 3", "nodes = 'many'")).starts_with("fleet.nodes: "));
    assert!(error(&MINIMAL.replace("[load]", "[load")).starts_with("line 11: "));
}

#[test]
fn overrides_set_keys_also_within_lists() {
    let set = |key: &str, value: &str| Scenario::parse(MINIMAL, &[(key.into(), value.into())]);
    assert_eq!(set("fleet.nodes", "5").unwrap().fleet.nodes, 5);
    assert_eq!(set("class.0.work_ms", "7.5").unwrap().classes[0].work_ms, 7.5);
    assert!(set("class.4.work_ms", "7").unwrap_err().to_string().starts_with("class.4.work_ms: "));
    assert!(set("fleet.nodes", "none").is_err());
}

#[test]
fn load_is_a_fraction_of_the_capacity_of_warm_cores() {
    let half = MINIMAL.replace("rate = 50", "load = 0.5");
    assert!((Scenario::parse(&half, &[]).unwrap().rate() - 150.0).abs() < 1e-9);
}

#[test]
fn errors_have_a_variant_for_each_kind_and_name_the_key_and_the_value() {
    let only_error = |text: &str| {
        let errors = Scenario::parse(text, &[]).unwrap_err();
        assert_eq!(errors.iter().count(), 1, "{errors}");
        errors
    };
    let errors = only_error(&MINIMAL.replace("nodes = 3", "nodes = 65"));
    assert_eq!(errors.to_string(), "fleet.nodes: must be from 1 to 64, not 65");
    assert!(matches!(errors.iter().next(), Some(ScenarioError::NotAllowed { value, .. }) if value == "65"));
    let errors = only_error(&MINIMAL.replace("nodes = 3", "nodes = 3\nclocks = {n3 = '7'}"));
    assert_eq!(errors.to_string(), "fleet.clocks.n3: must be AT:BY in milliseconds, not \"7\"");
    assert!(matches!(errors.iter().next(), Some(ScenarioError::InvalidClock { .. })));
    let errors = only_error(&MINIMAL.replace("nodes = 3", "nodes = 3\nprograms = {other = ['n4']}"));
    assert_eq!(errors.to_string(), "fleet.programs.other: the fleet has no node \"n4\"");
    let errors = only_error(&MINIMAL.replace("rate = 50", "rate = 50\nload = 0.5"));
    assert!(matches!(errors.iter().next(), Some(ScenarioError::Inconsistent { key, .. }) if key == "load"));
    let errors = only_error(&MINIMAL.replace("rate = 50", "rate = 50000"));
    assert_eq!(errors.to_string(), "load.rate: 500000 requests in total, more than the limit of 300000");
    let errors = only_error(&format!(
        "{MINIMAL}[[fault]]\nat_s = 1\nwhat = 'partition'\nzone = 'x'\nduration_s = 1\n"
    ));
    assert_eq!(errors.to_string(), "fault[0].zone: the fleet has no zone \"x\"");
}

#[test]
fn override_within_a_value_that_is_no_table_or_at_a_missing_position_names_its_key() {
    let error = |key: &str| Scenario::parse(MINIMAL, &[(key.into(), "1".into())]).unwrap_err();
    let errors = error("seconds.first");
    assert!(matches!(errors.iter().next(), Some(ScenarioError::NotATable { .. })));
    assert_eq!(errors.to_string(), "seconds.first: seconds is not a table");
    assert!(matches!(error("class.7.cv").iter().next(), Some(ScenarioError::NoSuchPosition { .. })));
}

/// A scenario with a table of each kind, in which every optional key is left out.
fn with_defaults() -> Scenario {
    let tables = "[[load.step]]\nfrom_s = 1\nto_s = 2\n[dependency]\nslots = 1\nwork_ms = 1\n[fleet.peers]\n[[fault]]\nat_s = 1\nwhat = 'kill'\nnodes = ['n1']\n";
    Scenario::parse(&format!("{MINIMAL}{tables}"), &[]).unwrap()
}

#[test]
fn omitted_fleet_keys_have_the_documented_defaults() {
    let scenario = with_defaults();
    let fleet = &scenario.fleet;
    assert_eq!((scenario.seed, fleet.cores, fleet.speed), (1, 2, [1.0, 1.0]));
    assert_eq!((fleet.warm_from, fleet.warm_s, fleet.cold), (0.25, 8.0, false));
    assert_eq!((fleet.thrash_at, fleet.thrash, fleet.memory_kb, fleet.run_factor), (1.4, 0.7, 24_000.0, 8.0));
    assert_eq!((fleet.read_ms, fleet.connect_ms, fleet.folder), (0.0, 0.0, false));
    assert_eq!((fleet.stop_ms, fleet.sockets, fleet.memory_mb), (6000, 512, 64));
    let peers = fleet.peers.as_ref().unwrap();
    assert_eq!((peers.enabled, peers.replicas, peers.probe_ms), (true, 3, 250));
    assert_eq!((peers.folder, peers.joining_nodes), (false, 0));
}

#[test]
fn omitted_class_and_load_keys_have_the_documented_defaults() {
    let scenario = with_defaults();
    let class = &scenario.classes[0];
    assert_eq!((class.cv, class.weight, class.late_weight, class.skip_weight), (0.5, 1.0, 0.0, 0.0));
    assert_eq!((class.idempotency_key, class.calls_dependency), (false, false));
    let load = &scenario.load;
    assert_eq!((load.hint_error, load.repeat_fraction, load.repeat_after_ms), (0.25, 0.0, [200.0, 3000.0]));
    assert_eq!((load.tenants["acme"], load.repeat_at), (1.0, RepeatAt::Same));
    let step = &load.steps[0];
    assert_eq!((step.rate_factor, step.costly_fraction, step.costly_factor), (1.0, 0.0, 8.0));
}

#[test]
fn omitted_service_and_fault_keys_have_the_documented_defaults() {
    let scenario = with_defaults();
    let frontends = &scenario.frontends;
    assert_eq!((frontends.count, frontends.retries, frontends.backoff_ms), (4, 1, 50.0));
    assert_eq!(frontends.load_balancing, [LoadBalancing::RoundRobin]);
    assert_eq!((frontends.retry_after_honoured, frontends.try_next_node), (0.6, false));
    assert_eq!((frontends.client_retries, frontends.registry_delay_ms), (1, [500.0, 1500.0]));
    assert_eq!((frontends.idle_timeout_s, scenario.registry.heartbeat_timeout_s), (10.0, 3.0));
    let dependency = scenario.dependency.as_ref().unwrap();
    assert_eq!((dependency.cv, dependency.queue), (0.5, 0));
    assert_eq!((scenario.rules.run_once_per, scenario.rules.slack_ms), (RunScope::Node, 150.0));
    let fault = &scenario.faults[0];
    assert_eq!((fault.waves, fault.wave_interval_s, fault.factor), (1, 1.0, 0.5));
    assert_eq!((fault.folder, fault.direction), (StoredState::Intact, Directions::Both));
}
