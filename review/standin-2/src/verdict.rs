//! The end of a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

use std::panic::{catch_unwind, AssertUnwindSafe};

use crate::record::Record;

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

impl Verdict {
    /// Writes the verdict and returns its exit status.
    pub fn report(self, record: &Record) -> i32 {
        let (status, text) = match self {
            Verdict::Held(text) => (0, format!("HELD: {text}")),
            Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
            Verdict::CouldNotRun(text) => (2, format!("COULD NOT RUN: {text}")),
        };
        record.line(&text);
        println!("{text}");
        status
    }
}

/// Runs a case. The nodes that it started have ended when it returns or panics.
pub fn run_case(case: impl FnOnce(&Record) -> Result<Verdict, String>) {
    let record = Record::create();
    let outcome = catch_unwind(AssertUnwindSafe(|| case(&record)));
    let verdict = match outcome {
        Ok(verdict) => verdict.unwrap_or_else(Verdict::CouldNotRun),
        Err(_) => Verdict::CouldNotRun("the case itself failed".into()),
    };
    std::process::exit(verdict.report(&record));
}
