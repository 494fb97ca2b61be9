//! What is known of a key's runs, and how two copies that differ are joined.
//!
//! The join is commutative, associative and idempotent: unknown is under begun, begun under ended. Of runs that may have
//! begun all are kept, as each may be the one; an end stands above them. Two ends of different runs can't come about while
//! fewer than a majority of a key's copies lose their state within a window. If they do, the earliest run stands: its
//! door, then its node's place in the list.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::membership_config::NodeId;

/// The key of a request.
pub type Key = Bytes;

/// A digest of a request's body that nobody can make another body for.
pub type BodyDigest = u128;

/// One try's claim on a key: no other claim, of any node at any time, has the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The node that makes it.
    pub node: NodeId,
    /// Which life of that node.
    pub incarnation: u64,
    /// Its number in that life.
    pub number: u64,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RunResult {
    /// With this result.
    Succeeded(Bytes),
    /// It failed and may have had its effect, or nobody knows what became of it.
    Failed,
}

impl RunResult {
    /// What its result takes.
    pub fn bytes(&self) -> usize {
        match self {
            RunResult::Succeeded(result) => result.len(),
            RunResult::Failed => 0,
        }
    }
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CompletedRun {
    /// When its request came to its node, in Unix milliseconds.
    pub received_at: u64,
    /// Its node's place in the list.
    pub place: u32,
    /// The claim that it ran by.
    pub claim: ClaimId,
    /// How it ended.
    pub fate: RunResult,
    /// The digest of its body.
    pub body: BodyDigest,
}

impl CompletedRun {
    /// The end of a claim whose node has lost all knowledge of it: whether it ran is not known, so it counts as failed.
    /// Any end that a run told of itself stands above it.
    pub fn of_the_gone(claim: ClaimId, body: BodyDigest) -> CompletedRun {
        CompletedRun { received_at: u64::MAX, place: u32::MAX, claim, fate: RunResult::Failed, body }
    }

    fn is_of_the_gone(&self) -> bool {
        self.received_at == u64::MAX
    }
}

/// What is known of a key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct KeyState {
    /// Claims that may have begun, with the digests of their bodies. Empty once a run has ended.
    pub begun: BTreeMap<ClaimId, BodyDigest>,
    /// The end that stands.
    pub ended: Option<CompletedRun>,
}

impl KeyState {
    /// Takes in what another copy knows. Returns both ends where two runs have ended: the one that stands, and the other.
    pub fn merge(&mut self, other: KeyState) -> Option<(CompletedRun, CompletedRun)> {
        let mut conflict = None;
        self.ended = match (self.ended.take(), other.ended) {
            (Some(one), Some(two)) => {
                // The order of the fields is that of the rule; a result stands above a failure of the same run.
                let (stands, falls) = if one <= two { (one, two) } else { (two, one) };
                let told_more = falls.fate == RunResult::Failed
                    && (stands.claim == falls.claim || falls.is_of_the_gone());
                if stands != falls && !told_more {
                    conflict = Some((stands.clone(), falls));
                }
                Some(stands)
            }
            (one, two) => one.or(two),
        };
        self.begun.extend(other.begun);
        if self.ended.is_some() {
            self.begun.clear();
        }
        conflict
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_none()
    }

    /// What the result takes.
    pub fn bytes(&self) -> usize {
        self.ended.as_ref().map_or(0, |end| end.fate.bytes())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn claim(number: u64) -> ClaimId {
        ClaimId { node: NodeId(number % 3), incarnation: 1, number }
    }

    fn end(received_at: u64, number: u64, fate: RunResult) -> CompletedRun {
        CompletedRun { received_at, place: number as u32 % 3, claim: claim(number), fate, body: 1 }
    }

    fn all() -> Vec<KeyState> {
        let begun = |numbers: &[u64]| KeyState {
            begun: numbers.iter().map(|n| (claim(*n), 1)).collect(),
            ended: None,
        };
        let ended = |end| KeyState { ended: Some(end), ..KeyState::default() };
        vec![
            KeyState::default(),
            begun(&[1]),
            begun(&[2]),
            begun(&[1, 2]),
            ended(end(5, 1, RunResult::Succeeded("a".into()))),
            ended(end(5, 1, RunResult::Failed)),
            ended(end(5, 2, RunResult::Succeeded("b".into()))),
            ended(end(4, 3, RunResult::Succeeded("c".into()))),
        ]
    }

    fn join(a: &KeyState, b: &KeyState) -> KeyState {
        let mut joined = a.clone();
        joined.merge(b.clone());
        joined
    }

    #[test]
    fn copies_that_differ_are_joined_in_any_order_and_any_number_of_times_to_the_same() {
        for a in &all() {
            assert_eq!(join(a, a), *a);
            for b in &all() {
                assert_eq!(join(a, b), join(b, a));
                for c in &all() {
                    assert_eq!(join(&join(a, b), c), join(a, &join(b, c)));
                }
            }
        }
    }

    #[test]
    fn unknown_is_under_begun_and_that_under_ended() {
        let [unknown, begun, .., ended] = &all()[..] else { unreachable!() };
        assert_eq!(join(unknown, begun), *begun);
        assert_eq!(join(begun, ended), *ended);
    }

    #[test]
    fn of_two_ends_the_earliest_run_stands_and_both_are_told() {
        let known = all();
        let mut joined = known[6].clone();
        let (stands, falls) = joined.merge(known[7].clone()).unwrap();
        assert_eq!((stands.received_at, falls.received_at), (4, 5));
        assert_eq!(joined.ended, Some(stands));
        let mut one = known[5].clone();
        assert_eq!(one.merge(known[4].clone()), None, "of one run a result says more than a failure");
        assert_eq!(one, known[4]);
        let mut gone =
            KeyState { ended: Some(CompletedRun::of_the_gone(claim(9), 1)), ..KeyState::default() };
        assert_eq!(gone.merge(known[6].clone()), None, "that one may never have run");
        assert_eq!(gone, known[6]);
    }
}
