use super::*;

fn assignment(key: &str, value: &str) -> Assignment {
    (key.into(), value.into())
}

#[test]
fn an_assignment_is_split_at_its_first_equals_sign() {
    assert_eq!(parse_assignment("load.load=1.2").unwrap(), assignment("load.load", "1.2"));
    assert_eq!(parse_assignment("fleet.vrrp={a=1}").unwrap(), assignment("fleet.vrrp", "{a=1}"));
    assert_eq!(parse_assignment("fault=").unwrap(), assignment("fault", ""));
}

#[test]
fn an_option_without_an_equals_sign_is_named_in_the_error() {
    let options = ["seconds=3".to_string(), "seconds".to_string()];
    let error = parse_assignments(&options).unwrap_err();
    assert_eq!(error.to_string(), "seconds: is not KEY=VALUE");
}

#[test]
fn each_error_in_a_scenario_is_a_line_with_the_path_of_its_file() {
    let path =
        std::env::temp_dir().join(format!("oakwind-fault-harness-mistakes-{}.toml", std::process::id()));
    let scenario =
        "name = 'x'\nseconds = 0\n[fleet]\nnodes = 2\n[load]\nrate = 10\n[[class]]\nname = 'quote'\n\
                    share = 1\nwork_ms = 20\nlatency_objective_ms = 100\ndeadline_ms = 300\n";
    std::fs::write(&path, scenario).unwrap();
    let error = read_scenario(&path, &[assignment("fleet.nodes", "0")]).unwrap_err();
    std::fs::remove_file(&path).unwrap();
    let text = error.to_string();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    let prefix = format!("{}: ", path.display());
    assert!(lines.iter().all(|line| line.starts_with(&prefix)), "{text}");
    assert!(text.contains("seconds") && text.contains("fleet.nodes"), "{text}");
}

#[test]
fn the_error_of_an_unreadable_scenario_names_its_path_once() {
    let path = std::env::temp_dir().join("oakwind-fault-harness-no-such-scenario.toml");
    let text = read_scenario(&path, &[]).unwrap_err().to_string();
    assert_eq!(text.matches("no-such-scenario").count(), 1, "{text}");
}
