//! What a node that came back asks of others, and what it gives to those that do: the newest windows first, from several
//! at once, a page at a time, bounded in bytes a second on both sides. It can be cut off anywhere and goes on where it
//! was.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::copies::Link;
use crate::frame::{Copied, Frame, Page, Position, Sound};
use crate::list::NodeId;
use crate::Time;

/// Donors that are asked at a time.
const PARALLEL: usize = 4;
/// A page that does not come within this is asked for again.
const OWED: Duration = Duration::from_secs(2);

/// So many bytes a second, with a second's worth in hand at the most.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    level: f64,
    at: Time,
}

impl Bucket {
    /// A full one.
    pub fn new(rate: u64, now: Time) -> Bucket {
        Bucket { rate: rate as f64, level: rate as f64, at: now }
    }

    /// Whether something is left.
    pub fn has(&mut self, now: Time) -> bool {
        let gained = now.saturating_sub(self.at).as_secs_f64() * self.rate;
        (self.level, self.at) = ((self.level + gained).min(self.rate), now.max(self.at));
        self.level > 0.0
    }

    /// Takes so many out, even if they are not there: who comes next waits for them.
    pub fn take(&mut self, bytes: usize) {
        self.level -= bytes as f64;
    }
}

/// What a page takes on a link, about.
pub fn weight(page: &Page) -> usize {
    let each = |record: &Copied| {
        let result = record.ended.as_ref().map_or(0, |end| 64 + end.fate.bytes());
        16 + record.key.len() + record.begun.len() * 40 + result
    };
    32 + page.records.iter().map(each).sum::<usize>()
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Progress {
    /// It is to be asked from here on.
    Wanted(Option<Position>),
    /// It was asked then, from here on.
    Asked(Time, Option<Position>),
    Done,
}

/// What a node asks of others.
#[derive(Debug, Clone)]
pub struct Catchup {
    round: u32,
    donors: BTreeMap<NodeId, Progress>,
    /// Those that are not done.
    left: usize,
    bucket: Bucket,
}

impl Catchup {
    /// Nothing is to be asked.
    pub fn new(rate: u64, now: Time) -> Catchup {
        Catchup { round: 0, donors: BTreeMap::new(), left: 0, bucket: Bucket::new(rate, now) }
    }

    /// Asks all of these from the beginning.
    pub fn begin(&mut self, donors: &BTreeSet<NodeId>) {
        self.round += 1;
        self.donors = donors.iter().map(|donor| (*donor, Progress::Wanted(None))).collect();
        self.count();
    }

    /// Asks one more, or one again.
    pub fn also(&mut self, donor: NodeId) {
        self.donors.insert(donor, Progress::Wanted(None));
        self.count();
    }

    fn count(&mut self) {
        self.left = self.donors.values().filter(|progress| **progress != Progress::Done).count();
    }

    /// Whether a donor was never to be asked.
    pub fn lacks(&self, donor: NodeId) -> bool {
        !self.donors.contains_key(&donor)
    }

    /// Only these are left to ask.
    pub fn keep(&mut self, donors: &BTreeSet<NodeId>) {
        self.donors.retain(|donor, _| donors.contains(donor));
        self.count();
    }

    /// Donors that still owe something.
    pub fn left(&self) -> usize {
        self.left
    }

    /// Asks whoever is to be asked, of those that are heard.
    pub fn tick(&mut self, now: Time, alive: impl Fn(NodeId) -> bool, out: &mut Vec<(NodeId, Frame)>) {
        if self.left == 0 {
            return;
        }
        let mut asked = 0;
        for progress in self.donors.values_mut() {
            match progress {
                Progress::Asked(at, from) if now >= *at + OWED => *progress = Progress::Wanted(from.take()),
                Progress::Asked(..) => asked += 1,
                _ => {}
            }
        }
        let round = self.round;
        for (donor, progress) in &mut self.donors {
            if asked >= PARALLEL || !self.bucket.has(now) {
                return;
            }
            let Progress::Wanted(from) = progress else { continue };
            if alive(*donor) {
                let from = from.take();
                out.push((*donor, Frame::Pull { round, from: from.clone() }));
                *progress = Progress::Asked(now, from);
                asked += 1;
            }
        }
    }

    /// A donor has given a page. Returns its records, and how sound the donor is if that was the last; none if the page
    /// was not asked for.
    pub fn given(&mut self, from: NodeId, page: Page) -> Option<(Vec<Copied>, Option<Sound>)> {
        let weight = weight(&page);
        let progress = self.donors.get_mut(&from)?;
        if page.round != self.round || !matches!(progress, Progress::Asked(..)) {
            return None;
        }
        self.bucket.take(weight);
        *progress = match page.next {
            Some(next) => Progress::Wanted(Some(next)),
            None => Progress::Done,
        };
        let last = *progress == Progress::Done;
        self.left -= usize::from(last);
        Some((page.records, last.then_some(page.sound)))
    }
}

/// One that asks: its link, the node, the round and where its part begins.
type Asker = (Link, NodeId, u32, Option<Position>);

/// What a node gives to others.
#[derive(Debug, Clone)]
pub struct Donor {
    bucket: Bucket,
    /// One question of each at the most.
    askers: VecDeque<Asker>,
}

impl Donor {
    /// Nobody has asked.
    pub fn new(rate: u64, now: Time) -> Donor {
        Donor { bucket: Bucket::new(rate, now), askers: VecDeque::new() }
    }

    /// One asks; its question before is void.
    pub fn asked(&mut self, link: Link, node: NodeId, round: u32, from: Option<Position>) {
        self.askers.retain(|(_, other, ..)| *other != node);
        self.askers.push_back((link, node, round, from));
    }

    /// The next to be given something, if there is any left to give now.
    pub fn next(&mut self, now: Time) -> Option<Asker> {
        if self.askers.is_empty() || !self.bucket.has(now) {
            return None;
        }
        self.askers.pop_front()
    }

    /// So much was given.
    pub fn gave(&mut self, bytes: usize) {
        self.bucket.take(bytes);
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
        let record = Copied { key: Bytes::from(vec![0; bytes]), keep_ms: 1, begun: vec![], ended: None };
        let next = next.map(|until_ns| Position { life: 1, until_ns, key: Bytes::new() });
        Page { round, records: vec![record], next, sound: Sound::Whole }
    }

    fn asked(catchup: &mut Catchup, now: Time) -> Vec<(u64, Option<u64>)> {
        let mut out = Vec::new();
        catchup.tick(now, |node| node != NodeId(3), &mut out);
        let from = |frame| match frame {
            Frame::Pull { from, .. } => from.map(|from: Position| from.until_ns),
            _ => unreachable!(),
        };
        out.into_iter().map(|(node, frame)| (node.0, from(frame))).collect()
    }

    #[test]
    fn several_that_are_heard_are_asked_at_once_and_each_goes_on_where_it_was() {
        let mut catchup = Catchup::new(1 << 20, at(0));
        catchup.begin(&(1..=7).map(NodeId).collect());
        assert_eq!(asked(&mut catchup, at(0)).iter().map(|(n, _)| *n).collect::<Vec<_>>(), [1, 2, 4, 5]);
        let (records, last) = catchup.given(NodeId(2), page(1, Some(9), 10)).unwrap();
        assert_eq!((records.len(), last), (1, None));
        assert_eq!(asked(&mut catchup, at(1)), [(2, Some(9))]);
        assert_eq!(catchup.given(NodeId(2), page(1, None, 10)).unwrap().1, Some(Sound::Whole));
        assert_eq!(asked(&mut catchup, at(2)), [(6, None)]);
        assert!(catchup.given(NodeId(2), page(1, None, 10)).is_none(), "it was not asked");
        assert!(catchup.given(NodeId(4), page(7, None, 10)).is_none(), "nor in that round");
        assert_eq!(catchup.left(), 6);
    }

    #[test]
    fn a_page_that_does_not_come_is_asked_for_again_from_where_it_was() {
        let mut catchup = Catchup::new(1 << 20, at(0));
        catchup.begin(&[NodeId(1)].into());
        asked(&mut catchup, at(0));
        catchup.given(NodeId(1), page(1, Some(9), 10));
        assert_eq!(asked(&mut catchup, at(1)), [(1, Some(9))]);
        assert_eq!(asked(&mut catchup, at(1999)), []);
        assert_eq!(asked(&mut catchup, at(2001)), [(1, Some(9))]);
    }

    #[test]
    fn both_sides_wait_when_their_bytes_are_used_up() {
        let mut catchup = Catchup::new(1000, at(0));
        catchup.begin(&[NodeId(1)].into());
        asked(&mut catchup, at(0));
        catchup.given(NodeId(1), page(1, Some(9), 2000));
        assert_eq!(asked(&mut catchup, at(900)), []);
        assert_eq!(asked(&mut catchup, at(1100)), [(1, Some(9))]);
        let mut donor = Donor::new(1000, at(0));
        donor.asked(1, NodeId(1), 1, None);
        donor.asked(1, NodeId(1), 2, None);
        donor.asked(2, NodeId(2), 1, None);
        assert_eq!(donor.next(at(0)), Some((1, NodeId(1), 2, None)), "the question before is void");
        donor.gave(1500);
        assert_eq!(donor.next(at(400)), None);
        assert_eq!(donor.next(at(600)), Some((2, NodeId(2), 1, None)));
    }
}
