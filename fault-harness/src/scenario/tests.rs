use super::*;

const PLAIN: &str = "name = 'x'\nseconds = 10\n[fleet]\nnodes = 3\n[[class]]\nname = 'quote'\nshare = 1\nwork_ms = 20\nlatency_objective_ms = 100\ndeadline_ms = 300\n[load]\nrate = 50\n";

#[test]
fn every_mistake_is_a_line_that_names_its_key() {
    let wrong = PLAIN.replace("nodes = 3", "nodes = 0").replace("latency_objective_ms = 100", "latency_objective_ms = 400")
        + "[[fault]]\nwhat = 'kill'\nnodes = ['n9']\nclock = '7'\n[[fault]]\nat_s = 3\nwhat = 'pause'\nfraction = 2.0\n";
    let mistakes = Scenario::parse(&wrong, &[]).unwrap_err();
    let keys: Vec<&str> = mistakes.iter().filter_map(|line| line.split(": ").next()).collect();
    let wanted = [
        "fleet.nodes",
        "class[0].latency_objective_ms",
        "fault[0].at_s",
        "fault[0].nodes",
        "fault[0].clock",
        "fault[1].fraction",
        "fault[1].duration_s",
    ];
    assert!(wanted.iter().all(|key| keys.contains(key)), "{mistakes:?}");
    assert!(mistakes.iter().all(|line| line.lines().count() == 1));
}

#[test]
fn an_unknown_key_a_wrong_kind_and_broken_text_are_told_with_their_place() {
    let at = |text: &str| Scenario::parse(text, &[]).unwrap_err().join("\n");
    assert!(at(&PLAIN.replace("nodes = 3", "nodes = 3\ncolour = 'red'")).starts_with("fleet"), "unknown");
    assert!(at(&PLAIN.replace("nodes = 3", "nodes = 'many'")).starts_with("fleet.nodes: "));
    assert!(at(&PLAIN.replace("[load]", "[load")).starts_with("line 11: "));
}

#[test]
fn keys_can_be_set_from_outside_also_within_lists() {
    let set = |key: &str, value: &str| Scenario::parse(PLAIN, &[(key.into(), value.into())]);
    assert_eq!(set("fleet.nodes", "5").unwrap().fleet.nodes, 5);
    assert_eq!(set("class.0.work_ms", "7.5").unwrap().classes[0].work_ms, 7.5);
    assert!(set("class.4.work_ms", "7").unwrap_err()[0].starts_with("class.4.work_ms: "));
    assert!(set("fleet.nodes", "none").is_err());
}

#[test]
fn load_is_a_part_of_what_warm_cores_can_do() {
    let half = PLAIN.replace("rate = 50", "load = 0.5");
    assert!((Scenario::parse(&half, &[]).unwrap().rate() - 150.0).abs() < 1e-9);
}
