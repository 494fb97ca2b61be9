use super::*;
use crate::test_support::{bytes, hex};
use oakwind_fleet::ids::{Incarnation, NodeId};
use oakwind_fleet::replication::key_state::{ClaimId, CompletedRun, RunResult};

/// Existing vote stores contain these bytes, so the encoding must not change.
#[test]
fn each_kind_of_vote_encodes_to_its_golden_bytes_and_decodes_from_them() {
    let claim = ClaimId {
        node: NodeId(0x0102_0304_0506_0708),
        incarnation: Incarnation(1_796_189_499_690_723),
        number: 3,
    };
    let stored = |vote, started: Vec<_>, completed: Option<CompletedRun>| StoredRecord {
        vote,
        record: ReplicaRecord { key: "key".into(), retain_ms: 1500, started, completed },
    };
    let run = |result| CompletedRun {
        received_at: 1_796_189_499_694,
        node_index: 1,
        claim,
        result,
        body: u128::MAX,
    };
    let done = run(RunResult::Succeeded(Bytes::from_static(b"\0job")));
    for (vote, golden) in [
        (stored(Some(claim), vec![(claim, 7)], None), "01888e98a8c0e0808101e39dd0a8ffb3980303036b6579dc0b01888e98a8c0e0808101e39dd0a8ffb39803030700"),
        (stored(None, vec![(claim, 7)], None), "00036b6579dc0b01888e98a8c0e0808101e39dd0a8ffb39803030700"),
        (stored(Some(claim), vec![], Some(done)), "01888e98a8c0e0808101e39dd0a8ffb3980303036b6579dc0b0001aee2f2a9a33401888e98a8c0e0808101e39dd0a8ffb39803030004006a6f62ffffffffffffffffffffffffffffffffffff03"),
        (stored(None, vec![], Some(run(RunResult::Failed))), "00036b6579dc0b0001aee2f2a9a33401888e98a8c0e0808101e39dd0a8ffb398030301ffffffffffffffffffffffffffffffffffff03"),
    ] {
        assert_eq!(hex(&postcard::to_allocvec(&vote).unwrap()), golden);
        assert_eq!(postcard::from_bytes::<StoredRecord>(&bytes(golden)).unwrap(), vote);
    }
}
