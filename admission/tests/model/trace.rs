//! Golden test of all decisions of `Admission` in seeded scenarios. They must equal the decisions recorded in
//! the fixtures bit for bit. The settings and events of a scenario depend only on its seed and on the
//! actions.
//!
//! A fixture has one line per half second of virtual time with the number of actions so far, a digest of all
//! actions and of the permitted rate after each batch, and the current permitted rate. The first differing
//! line shows when decisions diverge. For some scenarios the first actions are also recorded as text.
//!
//! After an intended change of decisions, the fixtures are recorded again with `RECORD_TRACE=1 cargo test -p
//! oakwind-admission --test model`. The numbers depend on the platform's floating-point functions (`exp`,
//! `log2`, `powf`).

mod driver;
mod perturbations;
mod plan;
mod recording;

use std::fs;
use std::path::PathBuf;

use driver::record_scenario;
use recording::Recording;

/// Number of scenarios whose digests are recorded, with seeds from 1.
const SCENARIOS: u64 = 64;
/// Number of scenarios whose first actions are also recorded as text.
const SCENARIOS_WITH_TEXT: u64 = 4;

/// Compares the recorded lines with a fixture, or writes the fixture if `RECORD_TRACE` is set.
fn compare_with_fixture(file: &str, recorded: &[String]) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/model/trace/fixtures").join(file);
    if std::env::var_os("RECORD_TRACE").is_some() {
        fs::write(&path, recorded.join("\n") + "\n").expect("the fixture directory is writable");
        return;
    }
    let fixture = fs::read_to_string(&path).expect("a fixture is recorded for each scenario");
    let expected: Vec<&str> = fixture.lines().collect();
    for (index, (line, expected_line)) in recorded.iter().zip(&expected).enumerate() {
        assert_eq!(line, expected_line, "decisions diverge at {file}, line {}", index + 1);
    }
    assert_eq!(recorded.len(), expected.len(), "the number of lines differs from {file}");
}

#[test]
fn decisions_are_the_same_to_the_bit_as_recorded() {
    for seed in 1..=SCENARIOS {
        let recording: Recording = record_scenario(seed);
        compare_with_fixture(&format!("{seed:02}-digests.txt"), recording.digests());
        if seed <= SCENARIOS_WITH_TEXT {
            compare_with_fixture(&format!("{seed:02}-actions.txt"), recording.first_actions());
        }
    }
}
