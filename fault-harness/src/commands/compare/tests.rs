use super::*;

fn calm_scenario_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/calm.toml")
}

#[test]
fn a_side_selects_its_build_and_sets_scenario_keys() {
    let side = Side::read(&calm_scenario_path(), "program=/builds/old seconds=7 load.load=0.25").unwrap();
    assert_eq!(side.label, "program=/builds/old seconds=7 load.load=0.25");
    assert_eq!(side.programs.default.path, PathBuf::from("/builds/old"));
    assert_eq!((side.scenario.seconds, side.scenario.load.load), (7.0, Some(0.25)));
}

#[test]
fn a_side_without_a_build_uses_the_program_beside_the_harness() {
    let side = Side::read(&calm_scenario_path(), "seconds=7").unwrap();
    assert_eq!(side.programs.default.path.file_name().unwrap(), "oakwind");
    assert!(side.programs.others.is_empty());
}

#[test]
fn a_side_with_a_word_that_is_not_an_assignment_is_an_error() {
    let error = Side::read(&calm_scenario_path(), "seconds=7 quick").err().unwrap();
    assert_eq!(error.to_string(), "quick: is not KEY=VALUE");
}
