//! The faults that a mutant can be started with.

/// A rule that a mutant breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// The mutant breaks no rule.
    None,
    /// It runs a request again whose idempotency key it has already seen.
    DuplicateRun,
    /// It leaves some requests unanswered.
    LosesAnswers,
    /// It sends some answers twice.
    DuplicateAnswer,
    /// It answers some requests that ran with a rejection.
    RefusesWhatRan,
    /// It answers some requests with the result of the previous run.
    MixesResults,
    /// It changes some request bodies before it passes them to the interpreter.
    ChangesBodies,
}

impl Fault {
    /// Parses the value of `--mutant`; an empty value means no fault.
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
