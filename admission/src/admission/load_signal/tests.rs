use super::{LoadSignal, SignalLoad};
use crate::admission::overload::recent_arrivals::{RecentArrival, RecentArrivals};
use crate::admission::quantities::Fraction;
use crate::admission::tests::fixtures::{at, priority, ServerState};
use crate::interface::{RequestId, Settings, Signal};

/// Forty arrivals with ranks from 0 to 1, of which those with a rank below `rejected_below` were rejected.
fn arrivals(rejected_below: f64) -> RecentArrivals {
    let mut recent = RecentArrivals::default();
    for number in 0..40_u32 {
        let rank = f64::from(number) / 40.0;
        let admitted = rank >= rejected_below;
        let (id, rank) = (RequestId(number), Fraction::new(rank));
        recent.add(RecentArrival { id, at: at(0.0), rank, priority: priority(1.0), admitted });
    }
    recent
}

/// The values advertised over this number of ticks.
fn advertised(signal: &mut LoadSignal, kind: Signal, recent: &RecentArrivals, ticks: u32) -> Vec<f64> {
    let state = ServerState::new(Settings { signal: kind, callers: 4, ..Settings::default() });
    let load = SignalLoad { recent, read_overload: false, concurrency_limit: 8.0 };
    (0..ticks).filter_map(|_| signal.update(&load, &state.context(0.1))).collect()
}

#[test]
fn the_minimum_rank_approaches_the_rank_below_which_rejections_outweigh_admissions() {
    let min_ranks = advertised(&mut LoadSignal::default(), Signal::MinRank, &arrivals(0.5), 200);
    assert!(
        min_ranks.windows(2).filter(|pair| pair[1] > pair[0]).count() > 5,
        "the minimum rank rises in small steps: {min_ranks:?}"
    );
    assert!(min_ranks.iter().all(|min_rank| *min_rank < 0.5));
    assert!(
        min_ranks.last().is_some_and(|min_rank| *min_rank > 0.4),
        "the minimum rank stays too low: {min_ranks:?}"
    );
}

#[test]
fn the_minimum_rank_decays_once_nothing_is_rejected() {
    let mut signal = LoadSignal::default();
    advertised(&mut signal, Signal::MinRank, &arrivals(0.5), 200);
    let min_ranks = advertised(&mut signal, Signal::MinRank, &arrivals(0.0), 60);
    assert_eq!(min_ranks.last(), Some(&0.0));
}

#[test]
fn an_idle_server_advertises_its_concurrency_limit_as_credit_or_the_full_weight() {
    let first = |kind| advertised(&mut LoadSignal::default(), kind, &arrivals(0.0), 1);
    assert_eq!(first(Signal::Credit), [8.0]);
    assert_eq!(first(Signal::Weight), [1.0]);
    assert!(first(Signal::Off).is_empty());
}
