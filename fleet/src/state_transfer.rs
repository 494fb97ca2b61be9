//! What a node that came back asks of others, and what it gives to those that do: the newest windows first, from several
//! at once, a page at a time. Who asks whom first is drawn, a donor gives to so many at a time and sends the others away for
//! a moment, and both sides are bounded in what they do a second: guards those that serve against all that come back at
//! once. It can be cut off anywhere and goes on where it was.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::membership_config::NodeId;
use crate::message::{Completeness, Message, Page, ReplicaRecord, TablePosition};
use crate::replica_table::LinkId;
use crate::Time;

/// Donors that are asked at a time.
const PARALLEL: usize = 8;
/// A page that does not come within this is asked for again, and a ticket that is not used for as long is void.
const OWED: Duration = Duration::from_secs(2);
/// A donor that lacks something itself is asked again whether it still does, after this and up to as long again.
const AGAIN: Duration = Duration::from_secs(1);
/// Donors that are asked a second whether they still lack something: the cost for a donor does not grow with the fleet.
const WORDS_PER_S: u64 = 16;
/// Nodes that a donor gives to at a time.
const TICKETS: usize = 8;
/// Who finds no ticket comes back after this for each turn of tickets that is before it, and up to as long again.
const TURN: Duration = Duration::from_millis(10);
/// Entries of its table that a donor looks at for others: a second, and at once. At about a microsecond each, a tenth of
/// a core.
const LOOKS_PER_S: u64 = 100_000;
const LOOKS_AT_ONCE: u64 = 5_000;
/// What a page takes beside its looks, in looks.
const PAGE_LOOKS: usize = 50;

/// So much a second, with so much in hand at the most.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    most: f64,
    level: f64,
    at: Time,
}

impl TokenBucket {
    /// A full one.
    pub fn new(rate: u64, most: u64, now: Time) -> TokenBucket {
        TokenBucket { rate: rate as f64, most: most as f64, level: most as f64, at: now }
    }

    /// Whether something is left.
    pub fn has(&mut self, now: Time) -> bool {
        let gained = now.saturating_sub(self.at).as_secs_f64() * self.rate;
        (self.level, self.at) = ((self.level + gained).min(self.most), now.max(self.at));
        self.level > 0.0
    }

    /// It fills at this rate from now on.
    pub fn fills(&mut self, now: Time, rate: u64) {
        self.has(now);
        self.rate = rate as f64;
    }

    /// Takes so much out, even if it is not there: who comes next waits for it.
    pub fn take(&mut self, much: usize) {
        self.level -= much as f64;
    }
}

/// What a page takes on a link, about.
pub fn weight(page: &Page) -> usize {
    let each = |record: &ReplicaRecord| {
        let result = record.ended.as_ref().map_or(0, |end| 64 + end.fate.bytes());
        16 + record.key.len() + record.begun.len() * 40 + result
    };
    32 + page.records.iter().map(each).sum::<usize>()
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Progress {
    /// It is to be asked from here on.
    RunRequest(Option<TablePosition>),
    /// It was asked then, from here on.
    ClaimRequest(Time, Option<TablePosition>),
    /// It is to be asked from here on, but not before then.
    Later(Time, Option<TablePosition>),
    /// It has told all, and lacked something itself; it may say then whether it still does.
    Lacked(Time),
    /// It was asked then whether it still does.
    Word(Time),
    Done,
}

impl Progress {
    /// Whether it still owes something.
    fn owes(&self) -> bool {
        !matches!(self, Progress::Done | Progress::Lacked(_) | Progress::Word(_))
    }
}

/// What a node asks of others.
#[derive(Debug, Clone)]
pub struct StateTransfer {
    round: u32,
    /// In the order in which they are asked.
    donors: Vec<(NodeId, Progress)>,
    /// Those that owe something.
    left: usize,
    bucket: TokenBucket,
    /// When the first donor that lacked something may be asked for its word.
    next_word: Time,
    words: TokenBucket,
    rng: ChaCha8Rng,
}

impl StateTransfer {
    /// Nothing is to be asked. The seed draws whom it asks first.
    pub fn new(rate: u64, seed: u64, now: Time) -> StateTransfer {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let (bucket, words) =
            (TokenBucket::new(rate, rate, now), TokenBucket::new(WORDS_PER_S, WORDS_PER_S, now));
        StateTransfer { round: 0, donors: Vec::new(), left: 0, bucket, next_word: Time::ZERO, words, rng }
    }

    /// Asks all of these from the beginning.
    pub fn begin(&mut self, donors: &BTreeSet<NodeId>) {
        self.round += 1;
        self.donors = donors.iter().map(|donor| (*donor, Progress::RunRequest(None))).collect();
        self.donors.shuffle(&mut self.rng);
        self.count();
    }

    /// Asks one more, or one again.
    pub fn also(&mut self, donor: NodeId) {
        self.donors.retain(|(known, _)| *known != donor);
        self.donors.push((donor, Progress::RunRequest(None)));
        self.count();
    }

    fn count(&mut self) {
        self.left = self.donors.iter().filter(|(_, progress)| progress.owes()).count();
    }

    /// Whether a donor was never to be asked.
    pub fn lacks(&self, donor: NodeId) -> bool {
        !self.donors.iter().any(|(known, _)| *known == donor)
    }

    /// Only these are left to ask.
    pub fn keep(&mut self, donors: &BTreeSet<NodeId>) {
        self.donors.retain(|(donor, _)| donors.contains(donor));
        self.count();
    }

    /// Donors that still owe something.
    pub fn left(&self) -> usize {
        self.left
    }

    /// Whether any that is heard still owes something.
    pub fn is_owed(&self, heard: impl Fn(NodeId) -> bool) -> bool {
        self.left > 0 && self.donors.iter().any(|(donor, progress)| progress.owes() && heard(*donor))
    }

    /// Asks whoever is to be asked, of those that are heard. Unless this node lacks nothing, donors that lacked something
    /// are asked whether they still do: whoever is whole by then vouches for it.
    pub fn tick(
        &mut self,
        now: Time,
        whole: bool,
        heard: impl Fn(NodeId) -> Option<u64>,
        out: &mut Vec<(NodeId, Message)>,
    ) {
        if self.left == 0 && (whole || now < self.next_word) {
            return;
        }
        let mut asked = 0;
        for (_, progress) in &mut self.donors {
            match progress {
                Progress::ClaimRequest(at, from) if now >= *at + OWED => {
                    *progress = Progress::RunRequest(from.take())
                }
                Progress::Later(at, from) if now >= *at => *progress = Progress::RunRequest(from.take()),
                Progress::Word(at) if now >= *at + OWED => *progress = Progress::Lacked(now),
                Progress::ClaimRequest(..) | Progress::Word(_) => asked += 1,
                _ => {}
            }
        }
        let round = self.round;
        let more = self.bucket.has(now);
        for (donor, progress) in &mut self.donors {
            if asked >= PARALLEL || !more {
                break;
            }
            let word = match progress {
                Progress::RunRequest(_) => false,
                Progress::Lacked(at) if !whole && now >= *at && self.words.has(now) => true,
                _ => continue,
            };
            let Some(incarnation) = heard(*donor) else { continue };
            let (from, next) = match progress {
                Progress::RunRequest(from) if !word => {
                    let from = from.take();
                    (from.clone(), Progress::ClaimRequest(now, from))
                }
                _ => {
                    self.words.take(1);
                    (Some(TablePosition::end(incarnation)), Progress::Word(now))
                }
            };
            out.push((*donor, Message::Pull { round, from }));
            *progress = next;
            asked += 1;
        }
        self.count();
        let words = self.donors.iter().filter_map(|(_, progress)| match progress {
            Progress::Lacked(at) | Progress::Word(at) => Some(*at),
            _ => None,
        });
        self.next_word = words.min().unwrap_or(Time::MAX);
    }

    fn asked(&mut self, donor: NodeId, round: u32) -> Option<&mut Progress> {
        let progress =
            self.donors.iter_mut().find(|(known, _)| *known == donor).map(|(_, progress)| progress);
        let open = |progress: &Progress| matches!(progress, Progress::ClaimRequest(..) | Progress::Word(_));
        progress.filter(|progress| round == self.round && open(progress))
    }

    /// A donor has given a page. Returns its records, and how sound the donor is if that was the last; none if the page
    /// was not asked for.
    pub fn given(
        &mut self,
        now: Time,
        from: NodeId,
        page: Page,
    ) -> Option<(Vec<ReplicaRecord>, Option<Completeness>)> {
        let weight = weight(&page);
        let again = now + AGAIN.mul_f64(1.0 + self.rng.random::<f64>());
        let progress = self.asked(from, page.round)?;
        *progress = match page.next {
            Some(next) => Progress::RunRequest(Some(next)),
            None if page.sound == Completeness::Complete => Progress::Done,
            None => Progress::Lacked(again),
        };
        let last = !progress.owes();
        self.next_word = self.next_word.min(again);
        self.bucket.take(weight);
        self.count();
        Some((page.records, last.then_some(page.sound)))
    }

    /// A donor has no ticket to give now.
    pub fn sent_away(&mut self, now: Time, from: NodeId, round: u32, for_: Duration) {
        let back = now + for_.mul_f64(1.0 + self.rng.random::<f64>()).min(OWED);
        if let Some(progress) = self.asked(from, round) {
            *progress = match progress {
                Progress::ClaimRequest(_, position) => Progress::Later(back, position.take()),
                _ => Progress::Lacked(back),
            };
            self.next_word = self.next_word.min(back);
        }
    }
}

/// One that asks: its link, the node, the round and where its part begins.
type Asker = (LinkId, NodeId, u32, Option<TablePosition>);

/// What a node gives to others.
#[derive(Debug, Clone)]
pub struct Donor {
    bytes: TokenBucket,
    looks: TokenBucket,
    /// One question of each at the most, of those with a ticket.
    askers: VecDeque<Asker>,
    /// Those that it gives to, and when each last asked.
    tickets: BTreeMap<NodeId, Time>,
    /// Those that were sent away and have not been back, and when.
    away: BTreeMap<NodeId, Time>,
}

impl Donor {
    /// Nobody has asked.
    pub fn new(rate: u64, now: Time) -> Donor {
        Donor {
            bytes: TokenBucket::new(rate, rate, now),
            looks: TokenBucket::new(LOOKS_PER_S, LOOKS_AT_ONCE, now),
            askers: VecDeque::new(),
            tickets: BTreeMap::new(),
            away: BTreeMap::new(),
        }
    }

    /// It gives at this part of its usual rate from now on.
    pub fn gives(&mut self, now: Time, part: f64) {
        self.looks.fills(now, (LOOKS_PER_S as f64 * part) as u64);
    }

    /// One asks; its question before is void. Returns for how long it is to stay away, if there is no ticket for it.
    pub fn asked(
        &mut self,
        now: Time,
        link: LinkId,
        node: NodeId,
        round: u32,
        from: Option<TablePosition>,
    ) -> Option<Duration> {
        self.askers.retain(|(_, other, ..)| *other != node);
        self.tickets.retain(|_, at| now < *at + OWED);
        self.away.retain(|_, at| now < *at + OWED);
        if self.tickets.len() >= TICKETS && !self.tickets.contains_key(&node) {
            self.away.insert(node, now);
            let turns = 1 + self.away.len() / TICKETS;
            return Some(TURN * u32::try_from(turns).unwrap_or(u32::MAX));
        }
        self.away.remove(&node);
        self.tickets.insert(node, now);
        self.askers.push_back((link, node, round, from));
        None
    }

    /// The next to be given something, if there is any left to give now.
    pub fn next(&mut self, now: Time) -> Option<Asker> {
        if self.askers.is_empty() || !self.bytes.has(now) || !self.looks.has(now) {
            return None;
        }
        self.askers.pop_front()
    }

    /// This page was given, for which so many entries were looked at. Who has all gives its ticket back.
    pub fn gave(&mut self, node: NodeId, page: &Page, looks: usize) {
        self.bytes.take(weight(page));
        self.looks.take(looks + PAGE_LOOKS);
        if page.next.is_none() {
            self.tickets.remove(&node);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Bytes;

    fn at(millis: u64) -> Time {
        Duration::from_millis(millis)
    }

    fn page(round: u32, next: Option<u64>, bytes: usize) -> Page {
        let record =
            ReplicaRecord { key: Bytes::from(vec![0; bytes]), keep_ms: 1, begun: vec![], ended: None };
        let next = next.map(|until_ns| TablePosition { incarnation: 1, until_ns, key: Bytes::new() });
        Page { round, records: vec![record], next, sound: Completeness::Complete }
    }

    fn catchup(rate: u64, donors: u64) -> StateTransfer {
        let mut catchup = StateTransfer::new(rate, 1, at(0));
        catchup.begin(&(1..=donors).map(NodeId).collect());
        catchup
    }

    /// Who is asked now, from where; the third is not heard.
    fn asked(catchup: &mut StateTransfer, now: Time) -> Vec<(u64, Option<u64>)> {
        let mut out = Vec::new();
        catchup.tick(now, false, |node| (node != NodeId(3)).then_some(1), &mut out);
        let from = |frame| match frame {
            Message::Pull { from, .. } => from.map(|from: TablePosition| from.until_ns),
            _ => unreachable!(),
        };
        out.into_iter().map(|(node, frame)| (node.0, from(frame))).collect()
    }

    #[test]
    fn several_that_are_heard_are_asked_at_once_and_each_goes_on_where_it_was() {
        let mut catchup = catchup(1 << 20, 12);
        let first: BTreeSet<u64> = asked(&mut catchup, at(0)).iter().map(|(n, _)| *n).collect();
        assert!(first.len() == PARALLEL && !first.contains(&3), "{first:?}");
        let (one, other) = (*first.first().unwrap(), *first.last().unwrap());
        let (records, last) = catchup.given(at(1), NodeId(one), page(1, Some(9), 10)).unwrap();
        assert_eq!((records.len(), last), (1, None));
        assert_eq!(asked(&mut catchup, at(1)), [(one, Some(9))]);
        assert_eq!(
            catchup.given(at(1), NodeId(one), page(1, None, 10)).unwrap().1,
            Some(Completeness::Complete)
        );
        assert!(matches!(asked(&mut catchup, at(2))[..], [(next, None)] if !first.contains(&next)));
        assert!(catchup.given(at(2), NodeId(one), page(1, None, 10)).is_none(), "it was not asked");
        assert!(catchup.given(at(2), NodeId(other), page(7, None, 10)).is_none(), "nor in that round");
        assert_eq!(catchup.left(), 11);
    }

    #[test]
    fn whom_a_node_asks_first_is_its_own_draw() {
        let first = |seed| {
            let mut catchup = StateTransfer::new(1 << 20, seed, at(0));
            catchup.begin(&(10..110).map(NodeId).collect());
            asked(&mut catchup, at(0))[0].0
        };
        let firsts: BTreeSet<u64> = (0..50).map(first).collect();
        assert!(firsts.len() > 30, "{firsts:?}");
        assert_eq!(first(7), first(7));
    }

    #[test]
    fn a_page_that_does_not_come_is_asked_for_again_from_where_it_was() {
        let mut catchup = catchup(1 << 20, 1);
        asked(&mut catchup, at(0));
        catchup.given(at(0), NodeId(1), page(1, Some(9), 10));
        assert_eq!(asked(&mut catchup, at(1)), [(1, Some(9))]);
        assert_eq!(asked(&mut catchup, at(1999)), []);
        assert_eq!(asked(&mut catchup, at(2001)), [(1, Some(9))]);
    }

    #[test]
    fn a_donor_that_lacked_something_is_asked_again_for_its_word_alone() {
        let mut catchup = catchup(1 << 20, 1);
        asked(&mut catchup, at(0));
        let lacking = Page { sound: Completeness::CompleteWith(vec![]), ..page(1, None, 10) };
        assert_eq!(
            catchup.given(at(0), NodeId(1), lacking).unwrap().1,
            Some(Completeness::CompleteWith(vec![]))
        );
        assert_eq!((catchup.left(), asked(&mut catchup, at(999))), (0, vec![]));
        assert_eq!(asked(&mut catchup, at(2000)), [(1, Some(0))], "from the end of its table");
        catchup.given(at(2001), NodeId(1), page(1, None, 0));
        assert_eq!(asked(&mut catchup, at(9000)), []);
    }

    #[test]
    fn who_is_sent_away_comes_back_later_and_not_with_the_others() {
        let back = |seed| {
            let mut catchup = StateTransfer::new(1 << 20, seed, at(0));
            catchup.begin(&[NodeId(1)].into());
            asked(&mut catchup, at(0));
            catchup.sent_away(at(0), NodeId(1), 1, at(100));
            (0..300).find(|now| !asked(&mut catchup, at(*now)).is_empty()).unwrap()
        };
        let all: BTreeSet<u64> = (0..40).map(back).collect();
        assert!(all.len() > 20 && all.iter().all(|back| (100..=200).contains(back)), "{all:?}");
    }

    #[test]
    fn both_sides_wait_when_their_bytes_are_used_up() {
        let mut catchup = catchup(1000, 1);
        asked(&mut catchup, at(0));
        catchup.given(at(0), NodeId(1), page(1, Some(9), 2000));
        assert_eq!(asked(&mut catchup, at(900)), []);
        assert_eq!(asked(&mut catchup, at(1100)), [(1, Some(9))]);
        let mut donor = Donor::new(1000, at(0));
        donor.asked(at(0), 1, NodeId(1), 1, None);
        donor.asked(at(0), 1, NodeId(1), 2, None);
        donor.asked(at(0), 2, NodeId(2), 1, None);
        assert_eq!(donor.next(at(0)), Some((1, NodeId(1), 2, None)), "the question before is void");
        donor.gave(NodeId(1), &page(2, None, 1450), 1);
        assert_eq!(donor.next(at(400)), None);
        assert_eq!(donor.next(at(600)), Some((2, NodeId(2), 1, None)));
    }

    #[test]
    fn a_donor_gives_to_few_at_a_time_and_sends_the_others_away_for_longer_the_more_there_are() {
        let mut donor = Donor::new(1 << 20, at(0));
        let mut away = Vec::new();
        for node in 1..=100 {
            away.extend(donor.asked(at(0), node, NodeId(node), 1, None));
        }
        assert_eq!(away.len(), 100 - TICKETS);
        assert!(away[0] == TURN && *away.last().unwrap() == TURN * 12, "{away:?}");
        let (_, first, ..) = donor.next(at(1)).unwrap();
        assert!(donor.asked(at(2), 99, NodeId(99), 1, None).is_some(), "its first page is not all");
        donor.gave(first, &page(1, None, 10), 1);
        assert_eq!(donor.asked(at(3), 99, NodeId(99), 1, None), None);
        assert_eq!(donor.asked(at(2500), 50, NodeId(50), 1, None), None, "tickets that nobody uses are void");
    }

    #[test]
    fn a_donor_looks_at_so_much_of_its_table_at_once_for_others() {
        let mut donor = Donor::new(1 << 20, at(0));
        let mut pages = 0;
        for now in (0..1000).step_by(10).map(at) {
            donor.asked(now, 1, NodeId(1), 1, None);
            while donor.next(now).is_some() {
                donor.gave(NodeId(1), &page(1, Some(9), 10), 2000);
                donor.asked(now, 1, NodeId(1), 1, None);
                pages += 1;
            }
        }
        let looks = pages * 2000;
        let most = LOOKS_PER_S + LOOKS_AT_ONCE + 2050;
        assert!((LOOKS_PER_S - 2050..most).contains(&looks), "{looks} in a second");
    }
}
