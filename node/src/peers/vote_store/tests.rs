use super::*;
use bytes::Bytes;
use oakwind_fleet::ids::NodeId;
use oakwind_fleet::key_state::{ClaimId, CompletedRun, RunResult};

#[test]
fn a_marker_tells_the_next_process_how_far_the_last_one_reached() {
    let folder = std::env::temp_dir().join(format!("oakwind-marker-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let mark =
        |uptime_seconds| StatePosition { incarnation: Incarnation(1_764_000_000_000_000), uptime_seconds };
    let mut marker = Marker::new(&folder, false);
    marker.reaches(mark(1));
    assert_eq!(marker.read(), None, "nothing in it can be relied on yet");
    marker.holds(mark(2));
    marker.reaches(mark(3));
    assert_eq!(Marker::new(&folder, true).read(), Some(mark(3)));
    marker.rest();
    marker.reaches(mark(4));
    assert_eq!(marker.read(), Some(mark(3)), "another process has it");
    for nonsense in ["", "7", "a b", "7 -1", "7 1 1"] {
        fs::write(folder.join(MARKER), nonsense).unwrap();
        assert_eq!(marker.read(), None, "{nonsense:?}");
    }
    marker.void();
    assert!(!folder.join(MARKER).exists());
    fs::remove_dir_all(&folder).unwrap();
}

/// The bytes of a vote in the folders of operators: they do not change.
#[test]
fn each_kind_of_vote_is_written_to_its_golden_bytes_and_read_from_them() {
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
        let hex: String =
            postcard::to_allocvec(&vote).unwrap().iter().map(|byte| format!("{byte:02x}")).collect();
        assert_eq!(hex, golden);
        let digits: Vec<u8> =
            golden.bytes().map(|digit| (digit as char).to_digit(16).unwrap() as u8).collect();
        let bytes: Vec<u8> = digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect();
        assert_eq!(postcard::from_bytes::<StoredRecord>(&bytes).unwrap(), vote);
    }
}

#[test]
fn the_marker_is_a_line_of_the_life_and_its_seconds() {
    let folder = std::env::temp_dir().join(format!("oakwind-marker-text-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    Marker::new(&folder, true)
        .reaches(StatePosition { incarnation: Incarnation(1_796_189_499_690_723), uptime_seconds: 3 });
    assert_eq!(fs::read_to_string(folder.join("sound")).unwrap(), "1796189499690723 3\n");
    fs::remove_dir_all(&folder).unwrap();
}
