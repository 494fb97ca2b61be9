//! The faults that a mutant can have.

/// What is wrong with a mutant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// Nothing.
    None,
    /// It does not recognize keys that come again.
    DuplicateRun,
    /// It never gives some answers.
    LosesAnswers,
    /// It gives some answers twice.
    DuplicateAnswer,
    /// It refuses some requests that ran.
    RefusesWhatRan,
    /// It answers some requests with the result of another.
    MixesResults,
    /// It changes some bodies on their way to the interpreter.
    ChangesBodies,
}

impl Fault {
    /// The fault that `--mutant` names.
    pub(super) fn named(name: &str) -> Option<Fault> {
        Some(match name {
            "" => Fault::None,
            "runs-twice" => Fault::DuplicateRun,
            "loses-answers" => Fault::LosesAnswers,
            "answers-twice" => Fault::DuplicateAnswer,
            "refuses-what-ran" => Fault::RefusesWhatRan,
            "mixes-results" => Fault::MixesResults,
            "changes-bodies" => Fault::ChangesBodies,
            _ => return None,
        })
    }
}
