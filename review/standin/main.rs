//! The stand-ins of the cases in `review/`. `standin CASE FOLDER RECORD` plays a case with its files in FOLDER; the
//! environment has the node's command in `RUN`, and `TROUBLE=0` leaves the disruption out.

mod client;
mod interpreter;
mod node;
mod record;
mod restart_in_drain;
mod silent_interpreter;
mod silent_predecessor;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// How a case ended.
pub enum Verdict {
    /// The rule was broken.
    Broken,
    /// The rule held.
    Held,
    /// The case couldn't run.
    NotRun(&'static str),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, record] = &arguments[..] else {
        eprintln!("standin CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Path::new(folder);
    let played = Record::create(Path::new(record)).and_then(|record| {
        let record = Arc::new(record);
        record.line(if trouble { "with the disruption" } else { "without the disruption" });
        let verdict = match &case[..] {
            "1" => restart_in_drain::run(trouble, folder, &record),
            "2" => silent_predecessor::run(trouble, folder, &record),
            "3" => silent_interpreter::run(trouble, folder, &record),
            _ => Ok(Verdict::NotRun("no such case")),
        }?;
        record.line(&match verdict {
            Verdict::Broken => "the rule was broken".into(),
            Verdict::Held => "the rule held".into(),
            Verdict::NotRun(why) => format!("the case couldn't run: {why}"),
        });
        Ok(verdict)
    });
    match played {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotRun(why)) => {
            eprintln!("the case couldn't run: {why}");
            ExitCode::from(2)
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
