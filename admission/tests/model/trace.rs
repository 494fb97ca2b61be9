//! The recorded trace: what `Admission` decides in seeded scenarios, compared to the bit with what it decided when the
//! fixtures were recorded. Settings and events of a scenario are a function of its seed and of the actions alone.
//!
//! A fixture has a line for each half second of virtual time: the number of actions so far, a digest of them and of
//! the permitted rate after each batch, and the permitted rate. The first line that differs tells when decisions part.
//! For some scenarios the first actions are recorded as text as well.
//!
//! A change that is meant to alter decisions records anew: `RECORD_TRACE=1 cargo test -p oakwind-admission --test model`.
//! The figures depend on the floating-point functions of the platform (`exp`, `log2`, `powf`).

mod driver;
mod perturbations;
mod plan;
mod recording;

use std::fs;
use std::path::PathBuf;

use driver::record_scenario;
use recording::Recording;

/// Scenarios whose digests are recorded, seeded from 1.
const SCENARIOS: u64 = 64;
/// Scenarios whose first actions are recorded as text as well.
const SCENARIOS_WITH_TEXT: u64 = 4;

/// Compares a recorded text with its fixture, or writes the fixture if the environment asks for it.
fn compare_with_fixture(file: &str, recorded: &[String]) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/model/trace/fixtures").join(file);
    if std::env::var_os("RECORD_TRACE").is_some() {
        fs::write(&path, recorded.join("\n") + "\n").expect("the fixture is writable");
        return;
    }
    let fixture = fs::read_to_string(&path).expect("the fixture is readable");
    let expected: Vec<&str> = fixture.lines().collect();
    for (index, (line, expected_line)) in recorded.iter().zip(&expected).enumerate() {
        assert_eq!(line, expected_line, "{file}, line {}", index + 1);
    }
    assert_eq!(recorded.len(), expected.len(), "number of lines of {file}");
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
