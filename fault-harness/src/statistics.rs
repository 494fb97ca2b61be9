//! Figures of a history: what was served in time, second by second and in all, how long answers took, and how long
//! the fleet needed to be back in full service after a fault.

use std::collections::HashMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::history::{Event, History};
use crate::model::frontend::End;
use crate::model::Ms;

/// Service is back where this part of what was served before is served again.
const BACK: f64 = 0.9;
/// Seconds that a second's figure is smoothed over, to either side.
const SMOOTH: usize = 1;
/// Seconds at the start that no figure of 'before' rests on.
const SETTLING: usize = 3;

/// One second of a play, by when requests were asked.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Second {
    /// Worth that was asked for.
    pub asked_worth: f64,
    /// Worth that was served within its aim, or later at its part.
    pub served_worth: f64,
    /// Requests asked.
    pub asked: u64,
    /// Served within their aim.
    pub in_time: u64,
    /// Served later.
    pub late: u64,
    /// Refused, in the end.
    pub refused: u64,
    /// Failed, or without an answer.
    pub failed: u64,
    /// Tries written in this second.
    pub tries: u64,
    /// Connections opened by front ends in this second.
    pub connected: u64,
    /// Runs begun in this second.
    pub began: u64,
}

/// A fault as a stretch of time.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Band {
    /// What.
    pub text: String,
    /// From when, in seconds.
    pub from: f64,
    /// Until when.
    pub until: f64,
}

/// How long a fleet took to be back.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Return {
    /// The part of the worth asked for that was served before the first fault.
    pub before: f64,
    /// Seconds from the first fault's start until service is back and stays; none if it is not by the end.
    pub from_start: Option<f64>,
    /// The same from the end of the last fault.
    pub from_end: Option<f64>,
    /// The least that a second served meanwhile, as a part of `before`.
    pub least: f64,
}

/// All figures of a play.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Statistics {
    /// By second.
    pub seconds: Vec<Second>,
    /// The faults.
    pub bands: Vec<Band>,
    /// First tries asked for.
    pub asked: u64,
    /// The part of the worth asked for that was served.
    pub served: f64,
    /// The same in the worst ten seconds.
    pub worst_ten: f64,
    /// The parts of requests that were served in time, late, refused and failed.
    pub parts: [f64; 4],
    /// Requests served, a second.
    pub throughput: f64,
    /// Milliseconds from asking to the answer of those served: half of them, and 99 in 100.
    pub median_ms: f64,
    /// The same for 99 in 100.
    pub p99_ms: f64,
    /// Tries for each request.
    pub tries: f64,
    /// Connections that front ends opened, a second: in the mean, at most, and at most with one node.
    pub connected: [f64; 3],
    /// The way back, where there was a fault.
    pub back: Option<Return>,
    /// The most that one program took: memory in KB, and descriptors.
    pub most: [u64; 2],
    /// Time of the cores that programs took, in microseconds a try.
    pub cpu_us_a_try: f64,
}

struct OfferedRequest {
    at: Ms,
    class: usize,
}

/// Computes all statistics of a history.
#[expect(
    clippy::too_many_lines,
    reason = "one arm for each event; it is split with the shape of this package"
)]
pub fn statistics(history: &History) -> Statistics {
    let terms = &history.terms;
    let count = terms.seconds.ceil().max(1.0) as usize;
    let mut seconds = vec![Second::default(); count];
    let mut asked: Vec<Option<OfferedRequest>> = Vec::new();
    let (mut bands, mut most, mut cpu) = (Vec::new(), [0, 0], vec![0; terms.nodes]);
    let (mut cpu_total, mut total_tries, mut firsts) = (0_u64, 0_u64, 0_u64);
    let (mut with_one, mut busiest) = (HashMap::new(), 0);
    // Three digits of ten minutes in microseconds: these bounds are valid.
    let mut took = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).ok();
    let second_of = |t: Ms| (t >= 0.0).then_some((t / 1000.0) as usize).filter(|second| *second < count);
    for seen in &history.seen {
        match &seen.what {
            // Repeats are there to be answered rightly; they are worth nothing.
            Event::Asked { n, class, repeats: None } => {
                if asked.len() <= *n {
                    asked.resize_with(*n + 1, || None);
                }
                asked[*n] = Some(OfferedRequest { at: seen.t, class: *class });
                firsts += 1;
                if let Some(second) = second_of(seen.t) {
                    seconds[second].asked += 1;
                    seconds[second].asked_worth += terms.classes[*class].worth;
                }
            }
            Event::Over { n, end, .. } => {
                let Some(Some(OfferedRequest { at, class })) = asked.get(*n) else { continue };
                let (class, lasted) = (&terms.classes[*class], seen.t - at);
                let Some(second) = second_of(*at) else { continue };
                let second = &mut seconds[second];
                match end {
                    End::Served | End::Poorer => {
                        if let Some(took) = &mut took {
                            took.saturating_record((lasted * 1000.0) as u64);
                        }
                        let whole = if *end == End::Poorer { class.skip_worth } else { 1.0 };
                        let in_time = lasted <= class.aim;
                        second.in_time += u64::from(in_time);
                        second.late += u64::from(!in_time);
                        second.served_worth +=
                            class.worth * whole * if in_time { 1.0 } else { class.late_worth };
                    }
                    End::Refused => second.refused += 1,
                    End::Failed | End::Silent => second.failed += 1,
                }
            }
            Event::Wrote { .. } => {
                total_tries += 1;
                if let Some(second) = second_of(seen.t) {
                    seconds[second].tries += 1;
                }
            }
            Event::Connected { node, .. } => {
                if let Some(second) = second_of(seen.t) {
                    seconds[second].connected += 1;
                    let here = with_one.entry((*node, second)).or_insert(0_u64);
                    *here += 1;
                    busiest = busiest.max(*here);
                }
            }
            Event::Began { .. } => {
                if let Some(second) = second_of(seen.t) {
                    seconds[second].began += 1;
                }
            }
            Event::Fault { text, until } => {
                bands.push(Band { text: text.clone(), from: seen.t / 1000.0, until: until / 1000.0 });
            }
            Event::Sample { node, rss_kb, files, cpu_ms } => {
                most = [most[0].max(*rss_kb), most[1].max(*files)];
                // A program that was started anew counts from 0.
                let before: u64 = cpu[*node];
                cpu_total += if *cpu_ms >= before { cpu_ms - before } else { *cpu_ms };
                cpu[*node] = *cpu_ms;
            }
            _ => {}
        }
    }
    let sum = |of: fn(&Second) -> f64| seconds.iter().map(of).sum::<f64>();
    let part = |value: f64, of: f64| if of > 0.0 { value / of } else { 0.0 };
    let all = sum(|s| s.asked as f64);
    let served_count = sum(|s| (s.in_time + s.late) as f64);
    let at = |part: f64| took.as_ref().map_or(0.0, |took| took.value_at_quantile(part) as f64 / 1000.0);
    Statistics {
        asked: firsts,
        served: part(sum(|s| s.served_worth), sum(|s| s.asked_worth)),
        worst_ten: worst(&seconds, 10),
        parts: [
            part(sum(|s| s.in_time as f64), all),
            part(sum(|s| s.late as f64), all),
            part(sum(|s| s.refused as f64), all),
            part(sum(|s| s.failed as f64), all),
        ],
        throughput: served_count / terms.seconds,
        median_ms: at(0.5),
        p99_ms: at(0.99),
        tries: part(total_tries as f64, firsts as f64),
        connected: [
            sum(|s| s.connected as f64) / count as f64,
            seconds.iter().map(|s| s.connected).max().unwrap_or(0) as f64,
            busiest as f64,
        ],
        back: back(&seconds, &bands),
        most,
        cpu_us_a_try: part(cpu_total as f64 * 1000.0, total_tries as f64),
        bands,
        seconds,
    }
}

/// The part that is served in the worst stretch of so many seconds.
fn worst(seconds: &[Second], over: usize) -> f64 {
    let shares = seconds.windows(over.min(seconds.len())).map(share);
    shares.fold(f64::INFINITY, f64::min).min(1.0)
}

/// The part of the worth asked for that is served.
pub fn share(seconds: &[Second]) -> f64 {
    let asked: f64 = seconds.iter().map(|s| s.asked_worth).sum();
    if asked > 0.0 {
        seconds.iter().map(|s| s.served_worth).sum::<f64>() / asked
    } else {
        1.0
    }
}

/// The way back: when each second, smoothed with its neighbours, serves enough and goes on to.
fn back(seconds: &[Second], bands: &[Band]) -> Option<Return> {
    let from = bands.iter().map(|band| band.from).fold(f64::INFINITY, f64::min);
    let until = bands.iter().map(|band| band.until).fold(0.0, f64::max);
    let first = from.floor().max(0.0) as usize;
    if !from.is_finite() || first >= seconds.len() {
        return None;
    }
    let before = share(&seconds[SETTLING.min(first / 2)..first.max(1)]);
    let smooth = |i: usize| share(&seconds[i.saturating_sub(SMOOTH)..(i + SMOOTH + 1).min(seconds.len())]);
    let enough = |i: &usize| smooth(*i) >= BACK * before;
    let least = (first..seconds.len()).map(|i| share(&seconds[i..=i])).fold(f64::INFINITY, f64::min);
    let last_bad = (first..seconds.len()).rfind(|i| !enough(i));
    let is_back = match last_bad {
        Some(bad) if bad + 1 >= seconds.len() => None,
        Some(bad) => Some((bad + 1) as f64),
        None => Some(from),
    };
    Some(Return {
        before,
        from_start: is_back.map(|at| (at - from).max(0.0)),
        from_end: is_back.map(|at| (at - until).max(0.0)),
        least: if before > 0.0 { least / before } else { 0.0 },
    })
}

#[cfg(test)]
mod tests;
