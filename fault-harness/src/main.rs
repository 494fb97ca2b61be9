//! The command line of the fault harness.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use oakwind_fault_harness::experiment::{self, Job};
use oakwind_fault_harness::history::History;
use oakwind_fault_harness::node::Programs;
use oakwind_fault_harness::predict::predict;
use oakwind_fault_harness::report::{self, Outcome};
use oakwind_fault_harness::scenario::Scenario;
use oakwind_fault_harness::schedule::schedule;
use oakwind_fault_harness::warm_up_bound::warm_up_bound;
use oakwind_fault_harness::{charts, mutant, play};

/// Starts fleets of the real program, puts faults between them, and says which rule broke.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Play(Play),
    Predict(Predict),
    Check(Check),
    Sweep(Sweep),
    Compare(Compare),
    MutantServe(MutantServe),
    Draw(Draw),
}

/// Play scenarios with the real program and check the rules.
#[derive(FromArgs)]
#[argh(subcommand, name = "play")]
struct Play {
    /// files of scenarios
    #[argh(positional)]
    scenarios: Vec<PathBuf>,
    /// what random numbers begin with, in place of the scenario's own
    #[argh(option)]
    seed: Option<u64>,
    /// plays of each scenario, with seeds that count up
    #[argh(option, default = "1")]
    repeat: u64,
    /// plays at a time
    #[argh(option, default = "1")]
    jobs: usize,
    /// a folder for histories, logs, charts and the page
    #[argh(option)]
    out: Option<PathBuf>,
    /// a build of the program as NAME=PATH, with further arguments behind it; nodes run `default` unless a scenario
    /// names another
    #[argh(option)]
    program: Vec<String>,
    /// set a key of the scenarios, as KEY=VALUE
    #[argh(option)]
    set: Vec<String>,
    /// say nothing while it runs
    #[argh(switch)]
    quiet: bool,
}

/// Play scenarios without sockets and without the program, in virtual time.
#[derive(FromArgs)]
#[argh(subcommand, name = "predict")]
struct Predict {
    /// files of scenarios
    #[argh(positional)]
    scenarios: Vec<PathBuf>,
    /// what random numbers begin with, in place of the scenario's own
    #[argh(option)]
    seed: Option<u64>,
    /// set a key of the scenarios, as KEY=VALUE
    #[argh(option)]
    set: Vec<String>,
}

/// Check the history of a play again.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// a history.jsonl
    #[argh(positional)]
    history: PathBuf,
}

/// Play a scenario with several values of one key.
#[derive(FromArgs)]
#[argh(subcommand, name = "sweep")]
struct Sweep {
    /// the file of a scenario
    #[argh(positional)]
    scenario: PathBuf,
    /// the key and its values, as KEY=a,b,c
    #[argh(option)]
    vary: String,
    /// plays of each value, with seeds that count up
    #[argh(option, default = "1")]
    repeat: u64,
    /// plays at a time
    #[argh(option, default = "1")]
    jobs: usize,
    /// a folder for the results and the page
    #[argh(option)]
    out: Option<PathBuf>,
    /// a build of the program as NAME=PATH, with further arguments behind it
    #[argh(option)]
    program: Vec<String>,
}

/// Play a scenario with two builds or two settings in turns.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct Compare {
    /// the file of a scenario
    #[argh(positional)]
    scenario: PathBuf,
    /// the first side: program=PATH or KEY=VALUE, several with a space between
    #[argh(option)]
    a: String,
    /// the second side
    #[argh(option)]
    b: String,
    /// pairs, with seeds that count up
    #[argh(option, default = "3")]
    repeat: u64,
    /// plays at a time
    #[argh(option, default = "2")]
    jobs: usize,
    /// a folder for the results and the page
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Be a plain node in the program's place, with a fault that the checker has to find.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct MutantServe {
    /// the platform's configuration
    #[argh(option)]
    config: PathBuf,
    /// a folder of keys, which a plain node does not keep
    #[argh(option)]
    remembered: Option<PathBuf>,
    /// the fault: runs-twice, loses-answers, answers-twice, refuses-what-ran, mixes-results or changes-bodies
    #[argh(option, default = "String::new()")]
    mutant: String,
}

/// Draw a table of numbers, whose first line names the columns, as an SVG on standard output.
#[derive(FromArgs)]
#[argh(subcommand, name = "draw")]
struct Draw {
    /// the table, with commas between its cells
    #[argh(positional)]
    table: PathBuf,
    /// what stands above the chart
    #[argh(option)]
    title: String,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let done = match arguments.command {
        Command::Play(play) => play_all(&play),
        Command::Predict(predict) => predict_all(&predict),
        Command::Check(check) => check_one(&check),
        Command::Draw(draw) => draw_one(&draw).map(|()| 0),
        Command::Sweep(sweep) => sweep_one(&sweep),
        Command::Compare(compare) => compare_one(&compare),
        Command::MutantServe(stand_in) => {
            // What is remembered is none of a plain node's concern.
            drop(stand_in.remembered);
            mutant::serve(&stand_in.config, &stand_in.mutant).map(|()| 0).map_err(|e| e.to_string())
        }
    };
    match done {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(problem) => {
            eprintln!("oakwind-fault-harness: {problem}");
            ExitCode::FAILURE
        }
    }
}

/// The program beside the harness, unless another is named.
fn programs(named: &[String]) -> Result<Programs, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    play::programs(own.with_file_name("oakwind"), named)
}

fn pair(text: &str) -> Result<(String, String), String> {
    let pair = text.split_once('=').ok_or_else(|| format!("{text}: is not KEY=VALUE"))?;
    Ok((pair.0.into(), pair.1.into()))
}

fn read(path: &Path, changes: &[(String, String)]) -> Result<Scenario, String> {
    Scenario::read(path, changes).map_err(|mistakes| {
        let lines: Vec<String> = mistakes.iter().map(|line| format!("{}: {line}", path.display())).collect();
        lines.join("\noakwind-fault-harness: ")
    })
}

/// One play, whose files go to a folder named after it.
fn job(label: &str, scenario: &Scenario, seed: u64, programs: &Programs, out: Option<&PathBuf>) -> Job {
    let name: String =
        label.chars().map(|c| if c.is_alphanumeric() || ".-=".contains(c) { c } else { '_' }).collect();
    Job {
        label: label.into(),
        scenario: scenario.clone(),
        seed,
        programs: programs.clone(),
        out: out.map(|out| out.join(format!("{name}-{seed}"))),
    }
}

/// Tells of all plays and keeps what is to be kept; the number of rules broken.
fn print_outcomes(outcomes: &[Outcome], out: Option<&PathBuf>) -> Result<usize, String> {
    if let Some(out) = out {
        let keep = || -> std::io::Result<()> {
            let lines = outcomes.iter().map(serde_json::to_string).collect::<Result<Vec<_>, _>>()?;
            std::fs::write(out.join("results.jsonl"), lines.join("\n") + "\n")?;
            report::page(outcomes, &out.join("report.html"))
        };
        keep().map_err(|e| format!("{}: {e}", out.display()))?;
    }
    for outcome in outcomes.iter().filter(|outcome| !outcome.verdict.breaches.is_empty()) {
        println!("{} with seed {}:", outcome.label, outcome.seed);
        print!("{}", report::breaches(&outcome.verdict));
    }
    let broken = outcomes.iter().map(|outcome| outcome.verdict.breaches.len()).sum();
    println!("{broken} rules broken");
    Ok(broken)
}

fn play_all(arguments: &Play) -> Result<usize, String> {
    let changes = arguments.set.iter().map(|set| pair(set)).collect::<Result<Vec<_>, _>>()?;
    let programs = programs(&arguments.program)?;
    let mut jobs = Vec::new();
    if arguments.scenarios.is_empty() {
        return Err("name at least one scenario".into());
    }
    for path in &arguments.scenarios {
        let scenario = read(path, &changes)?;
        for i in 0..arguments.repeat {
            let seed = arguments.seed.unwrap_or(scenario.seed) + i;
            jobs.push(job(&scenario.name, &scenario, seed, &programs, arguments.out.as_ref()));
        }
    }
    let outcomes = experiment::run(jobs, arguments.jobs, !arguments.quiet).map_err(|e| e.to_string())?;
    print!("{}", if arguments.repeat > 1 { experiment::spread(&outcomes) } else { report::rows(&outcomes) });
    print_outcomes(&outcomes, arguments.out.as_ref())
}

fn predict_all(arguments: &Predict) -> Result<usize, String> {
    let changes = arguments.set.iter().map(|set| pair(set)).collect::<Result<Vec<_>, _>>()?;
    let mut outcomes = Vec::new();
    for path in &arguments.scenarios {
        let scenario = read(path, &changes)?;
        let seed = arguments.seed.unwrap_or(scenario.seed);
        let history = predict(&scenario, Some(seed));
        outcomes.push(Outcome::of(
            &scenario.name,
            &history,
            warm_up_bound(&scenario, &schedule(&scenario, seed)),
        ));
    }
    print!("{}", report::rows(&outcomes));
    print_outcomes(&outcomes, None)
}

fn check_one(arguments: &Check) -> Result<usize, String> {
    let history =
        History::read(&arguments.history).map_err(|e| format!("{}: {e}", arguments.history.display()))?;
    let outcome = Outcome::of(&history.parameters.scenario, &history, None);
    print!("{}", report::rows(std::slice::from_ref(&outcome)));
    print_outcomes(&[outcome], None)
}

fn draw_one(arguments: &Draw) -> Result<(), String> {
    let named = |e: String| format!("{}: {e}", arguments.table.display());
    let table = std::fs::read_to_string(&arguments.table).map_err(|e| named(e.to_string()))?;
    print!("{}", charts::of_table(&arguments.title, &table).map_err(named)?);
    Ok(())
}

fn sweep_one(arguments: &Sweep) -> Result<usize, String> {
    let (key, values) = pair(&arguments.vary)?;
    let programs = programs(&arguments.program)?;
    let mut jobs = Vec::new();
    for value in values.split(',') {
        let scenario = read(&arguments.scenario, &[(key.clone(), value.into())])?;
        let label = format!("{key}={value}");
        for i in 0..arguments.repeat {
            jobs.push(job(&label, &scenario, scenario.seed + i, &programs, arguments.out.as_ref()));
        }
    }
    let outcomes = experiment::run(jobs, arguments.jobs, true).map_err(|e| e.to_string())?;
    print!("{}", experiment::spread(&outcomes));
    print_outcomes(&outcomes, arguments.out.as_ref())
}

fn compare_one(arguments: &Compare) -> Result<usize, String> {
    let mut sides = Vec::new();
    for side in [&arguments.a, &arguments.b] {
        let (mut changes, mut default) = (Vec::new(), Vec::new());
        for word in side.split_whitespace() {
            match pair(word)? {
                (key, path) if key == "program" => default.push(format!("default={path}")),
                change => changes.push(change),
            }
        }
        sides.push((side.clone(), read(&arguments.scenario, &changes)?, programs(&default)?));
    }
    let mut jobs = Vec::new();
    for i in 0..arguments.repeat {
        for (label, scenario, programs) in &sides {
            jobs.push(job(label, scenario, scenario.seed + i, programs, arguments.out.as_ref()));
        }
    }
    let outcomes = experiment::run(jobs, arguments.jobs, true).map_err(|e| e.to_string())?;
    let (first, second): (Vec<Outcome>, Vec<Outcome>) =
        outcomes.iter().cloned().partition(|o| o.label == sides[0].0);
    print!("{}", experiment::compared(&first, &second));
    print_outcomes(&outcomes, arguments.out.as_ref())
}
