//! Golden tests for the encoding of what nodes exchange and store: all peer messages, the record of a key on
//! a node's disk, the decision records, and the digests that all nodes must compute alike.
//!
//! `postcard` encodes variants and fields by position. Every field has a distinct value, so that a reordering
//! of the fields is detected. Names of fields may change; the bytes must not.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use oakwind_fleet::audit::decision_record::{Decision, Record, Versions};
use oakwind_fleet::audit::hash_chain::{read, Chain};
use oakwind_fleet::ids::{ConfigVersion, Incarnation, NodeId};
use oakwind_fleet::membership::config::{Member, MembershipConfig, MembershipSpec};
use oakwind_fleet::message::{
    ClaimRequest, Completeness, ConfigSignature, ConflictingClaim, GossipUpdate, Hello, Liveness,
    MemberVersion, Message, Page, RejectReason, ReplicaRecord, TablePosition, MESSAGE_KINDS,
};
use oakwind_fleet::recovery::staleness::StatePosition;
use oakwind_fleet::replication::key_state::{ClaimId, CompletedRun, RunResult};
use oakwind_fleet::replication::replica_table::StoredRecord;
use serde::de::DeserializeOwned;
use serde::Serialize;

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(hexadecimal: &str) -> Vec<u8> {
    assert_eq!(hexadecimal.len() % 2, 0);
    let digits = |at: usize| u8::from_str_radix(&hexadecimal[at..at + 2], 16).unwrap();
    (0..hexadecimal.len()).step_by(2).map(digits).collect()
}

/// Asserts that the value is encoded as these bytes and that these bytes are decoded as the value.
fn assert_golden<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, golden: &str) {
    let encoded = postcard::to_allocvec(value).unwrap();
    assert_eq!(hexadecimal(&encoded), golden, "{value:?}");
    let golden = bytes_of(golden);
    let (decoded, rest) = postcard::take_from_bytes::<T>(&golden).unwrap();
    assert_eq!((&decoded, rest.len()), (value, 0));
}

const KEY: Bytes = Bytes::from_static(b"key");

fn claim() -> ClaimId {
    ClaimId { node: NodeId(1001), incarnation: Incarnation(1002), number: 1003 }
}

fn other_claim() -> ClaimId {
    ClaimId { node: NodeId(1004), incarnation: Incarnation(1005), number: 1006 }
}

fn run(result: RunResult) -> CompletedRun {
    CompletedRun { received_at: 1007, node_index: 1008, claim: other_claim(), result, body: 1009 }
}

fn succeeded() -> RunResult {
    RunResult::Succeeded(Bytes::from_static(b"result"))
}

fn gossip() -> Vec<GossipUpdate> {
    let update = |node, incarnation, refutations, liveness| GossipUpdate {
        node: NodeId(node),
        version: MemberVersion { incarnation: Incarnation(incarnation), refutations },
        liveness,
    };
    vec![
        update(1010, 1011, 1012, Liveness::Alive),
        update(1013, 1014, 1015, Liveness::Suspect),
        update(1016, 1017, 1018, Liveness::Dead),
    ]
}

fn position() -> TablePosition {
    TablePosition { incarnation: Incarnation(1019), expires_ns: 1020, key: Bytes::from_static(b"from") }
}

fn open_record() -> ReplicaRecord {
    ReplicaRecord {
        key: KEY,
        retain_ms: 1021,
        started: vec![(claim(), 1022), (other_claim(), 1023)],
        completed: None,
    }
}

fn completed_record(result: RunResult) -> ReplicaRecord {
    ReplicaRecord { key: KEY, retain_ms: 1024, started: vec![], completed: Some(run(result)) }
}

fn config_spec() -> MembershipSpec {
    let member = |name: &str, address: &str, zone: &str| Member {
        name: name.into(),
        address: address.parse().unwrap(),
        zone: zone.into(),
    };
    MembershipSpec {
        version: ConfigVersion(1025),
        replicas: 2,
        window: Duration::new(1026, 1027),
        members: vec![
            member("n1", "127.0.0.1:1028", "east"),
            member("n2", "[::1]:1029", "west"),
            member("n3", "127.0.0.3:1030", "east"),
        ],
    }
}

#[test]
fn hellos_and_their_rejections_keep_their_encoding() {
    let signature = |version, digest| ConfigSignature { version: ConfigVersion(version), digest };
    let hello = Hello {
        name: "n1".into(),
        to: NodeId(u64::MAX),
        incarnation: Incarnation(1031),
        configs: vec![signature(1032, 1033), signature(1034, 1035)],
        retired_through: ConfigVersion(1036),
        link_cut: true,
        uptime_seconds: 1037,
        restored: Some(StatePosition { incarnation: Incarnation(1038), uptime_seconds: 1039 }),
    };
    assert_golden(
        &Message::Hello(hello.clone()),
        "00026e31ffffffffffffffffff01870802880889088a088b088c08018d08018e088f08",
    );
    let fresh = Hello { link_cut: false, restored: None, configs: vec![], ..hello };
    assert_golden(&Message::Hello(fresh), "00026e31ffffffffffffffffff018708008c08008d0800");
    assert_golden(&Message::Superseded { incarnation: Incarnation(1040) }, "019008");
    assert_golden(
        &Message::StaleState {
            latest: StatePosition { incarnation: Incarnation(1041), uptime_seconds: 1042 },
        },
        "1591089208",
    );
}

#[test]
fn membership_config_messages_keep_their_encoding() {
    assert_golden(&Message::RequestMembershipConfig { version: ConfigVersion(1043) }, "029308");
    assert_golden(&Message::MembershipConfig(config_spec()), "038108028208830803026e31007f00000184080465617374026e32010000000000000000000000000000000185080477657374026e33007f00000386080465617374");
}

#[test]
fn probes_keep_their_encoding() {
    assert_golden(
        &Message::Ping { seq: 1044, uptime_seconds: 1045, gossip: gossip() },
        "049408950803f207f307f40700f507f607f70701f807f907fa0702",
    );
    assert_golden(
        &Message::Ack { seq: 1046, uptime_seconds: 1047, gossip: gossip() },
        "059608970803f207f307f40700f507f607f70701f807f907fa0702",
    );
    assert_golden(&Message::IndirectPing { seq: 1048, target: NodeId(1049) }, "0698089908");
    assert_golden(&Message::IndirectAck { seq: 1050, target: NodeId(1051) }, "079a089b08");
}

#[test]
fn claims_and_their_responses_keep_their_encoding() {
    let request = ClaimRequest {
        claim: claim(),
        key: KEY,
        body: u128::MAX - 1,
        retain_ms: 1052,
        config_versions: vec![ConfigVersion(1053), ConfigVersion(1054)],
    };
    assert_golden(
        &Message::Claim(request),
        "08e907ea07eb07036b6579feffffffffffffffffffffffffffffffffff039c08029d089e08",
    );
    let incarnations = vec![(NodeId(1055), Incarnation(1056)), (NodeId(1057), Incarnation(1058))];
    assert_golden(&Message::Granted { claim: claim(), incarnations }, "09e907ea07eb07029f08a008a108a208");
    let open = ConflictingClaim { claim: other_claim(), body: 1059, completed: None, expired_ms: 1060 };
    assert_golden(
        &Message::Blocked { claim: claim(), conflict: open.clone() },
        "0ae907ea07eb07ec07ed07ee07a30800a408",
    );
    let succeeded = ConflictingClaim { completed: Some(run(succeeded())), ..open.clone() };
    assert_golden(
        &Message::Blocked { claim: claim(), conflict: succeeded },
        "0ae907ea07eb07ec07ed07ee07a30801ef07f007ec07ed07ee070006726573756c74f107a408",
    );
    let failed = ConflictingClaim { completed: Some(run(RunResult::Failed)), ..open };
    assert_golden(
        &Message::Blocked { claim: claim(), conflict: failed },
        "0ae907ea07eb07ec07ed07ee07a30801ef07f007ec07ed07ee0701f107a408",
    );
    assert_golden(&Message::Release { key: KEY, claim: claim() }, "0e036b6579e907ea07eb07");
    assert_golden(&Message::QueryKey { claim: claim(), key: KEY }, "0fe907ea07eb07036b6579");
    assert_golden(&Message::KeyFree { claim: claim() }, "10e907ea07eb07");
    assert_golden(
        &Message::QueryClaim { key: KEY, claim: claim(), body: 1061 },
        "11036b6579e907ea07eb07a508",
    );
}

#[test]
fn reject_reasons_keep_their_encoding() {
    let reasons = [
        (RejectReason::Recovering, "00"),
        (RejectReason::NoQuorum, "01"),
        (RejectReason::CapacityExceeded, "02"),
        (RejectReason::Superseded, "03"),
        (RejectReason::ConfigMismatch, "04"),
        (RejectReason::ConfigConflict, "05"),
        (RejectReason::NotDurable, "06"),
        (RejectReason::Unreachable, "07"),
        (RejectReason::NotMember, "08"),
        (RejectReason::DeadlineExceeded, "09"),
        (RejectReason::WindowExpired, "0a"),
        (RejectReason::ClaimReleased, "0b"),
    ];
    for (reason, byte) in reasons {
        assert_golden(&reason, byte);
        assert_golden(&Message::Uncertain { claim: claim(), reason }, &format!("0be907ea07eb07{byte}"));
    }
}

#[test]
fn results_of_runs_keep_their_encoding() {
    assert_golden(
        &Message::Completed { key: KEY, retain_ms: 1062, run: run(succeeded()) },
        "0c036b6579a608ef07f007ec07ed07ee070006726573756c74f107",
    );
    assert_golden(
        &Message::Completed { key: KEY, retain_ms: 1063, run: run(RunResult::Failed) },
        "0c036b6579a708ef07f007ec07ed07ee0701f107",
    );
    assert_golden(&Message::Stored { claim: claim(), stored: true }, "0de907ea07eb0701");
    assert_golden(&Message::Stored { claim: claim(), stored: false }, "0de907ea07eb0700");
}

#[test]
fn pages_of_a_table_keep_their_encoding() {
    assert_golden(&Message::Pull { round: 1064, from: None }, "12a80800");
    assert_golden(&Message::Pull { round: 1065, from: Some(position()) }, "12a90801fb07fc070466726f6d");
    let first = Page {
        round: 1066,
        records: vec![open_record(), completed_record(succeeded())],
        next: Some(position()),
        completeness: Completeness::PartialFrom(vec![NodeId(1067), NodeId(1068)]),
    };
    assert_golden(&Message::Page(first), "13aa0802036b6579fd0702e907ea07eb07fe07ec07ed07ee07ff0700036b657980080001ef07f007ec07ed07ee070006726573756c74f10701fb07fc070466726f6d0102ab08ac08");
    let last = Page { round: 1069, records: vec![], next: None, completeness: Completeness::Complete };
    assert_golden(&Message::Page(last), "13ad08000000");
    assert_golden(&Message::Deferred { round: 1070, retry_after_ms: 1071 }, "14ae08af08");
}

#[test]
fn the_number_of_message_kinds_is_unchanged() {
    assert_eq!(MESSAGE_KINDS, 22);
}

/// A stored record holds the node's vote on a key and the key's replicated state.
#[test]
fn stored_records_keep_their_encoding() {
    assert_golden(
        &StoredRecord { vote: Some(claim()), record: open_record() },
        "01e907ea07eb07036b6579fd0702e907ea07eb07fe07ec07ed07ee07ff0700",
    );
    assert_golden(
        &StoredRecord { vote: Some(claim()), record: completed_record(succeeded()) },
        "01e907ea07eb07036b657980080001ef07f007ec07ed07ee070006726573756c74f107",
    );
    assert_golden(
        &StoredRecord { vote: None, record: completed_record(RunResult::Failed) },
        "00036b657980080001ef07f007ec07ed07ee0701f107",
    );
}

fn versions() -> Versions {
    Versions { settings: "digest".into(), config: ConfigVersion(1072), program: "1.2.3".into() }
}

fn attempt_record(decision: Decision, key: Option<&str>) -> Record {
    Record::Attempt {
        at: 1073,
        decision,
        txn: "try".into(),
        key: key.map(Into::into),
        class: "book".into(),
        versions: versions(),
    }
}

#[test]
fn decision_records_keep_their_json() {
    let by = r#""by":{"settings":"digest","list":1072,"program":"1.2.3"}"#;
    let attempt_json = |did: &str, key: &str| {
        format!(r#"{{"e":"try","at":1073,"did":"{did}","txn":"try",{key}"class":"book",{by}}}"#)
    };
    let records = [
        (
            Record::ProcessStarted { at: 1074, node: "n1".into(), versions: versions() },
            format!(r#"{{"e":"began","at":1074,"node":"n1",{by}}}"#),
        ),
        (attempt_record(Decision::Run, Some("key")), attempt_json("run", r#""key":"key","#)),
        (attempt_record(Decision::NeverStarted, None), attempt_json("unrun", "")),
        (attempt_record(Decision::Served, None), attempt_json("served", "")),
        (attempt_record(Decision::Rejected, None), attempt_json("refused", "")),
        (attempt_record(Decision::Failed, None), attempt_json("failed", "")),
        (Record::Dropped { at: 1075, count: 1076 }, r#"{"e":"dropped","at":1075,"count":1076}"#.into()),
        (Record::ProcessStopped { at: 1077 }, r#"{"e":"ended","at":1077}"#.into()),
    ];
    for (record, text) in records {
        assert_eq!(serde_json::to_string(&record).unwrap(), text);
        assert_eq!(serde_json::from_str::<Record>(&text).unwrap(), record);
    }
}

#[test]
fn lines_of_a_hash_chain_keep_their_text() {
    let (mut chain, mut text) = (Chain::default(), String::new());
    chain.append("{}", &mut text);
    chain.append("{\"a\":1}", &mut text);
    assert_eq!(text, "1 798c59c556b9bb887b0f0031b6a025cc {}\n2 bc89d8aa62eac68cc6961bcd64ff5938 {\"a\":1}\n");
    let contents = read(&text, &mut Chain::default());
    assert_eq!((contents.records, contents.breaks), (vec![(1, "{}"), (2, "{\"a\":1}")], vec![]));
}

/// Nodes of different builds must agree on the ids of nodes, the digest of a configuration and the replicas
/// of a key.
#[test]
fn node_ids_config_digests_and_replica_placement_are_unchanged() {
    assert_eq!(format!("{:x}", NodeId::of("n1").0), "705db633e061d248");
    let config = MembershipConfig::new(config_spec()).unwrap();
    assert_eq!(format!("{:x}", config.digest()), "51d764d4bed1f886");
    let members: Vec<Member> = (0..9)
        .map(|n| Member {
            name: format!("n{n}"),
            address: ([127, 0, 0, 1], 7000 + n).into(),
            zone: format!("z{}", n % 4),
        })
        .collect();
    let names: BTreeMap<NodeId, String> =
        members.iter().map(|member| (NodeId::of(&member.name), member.name.clone())).collect();
    let config = MembershipConfig::new(MembershipSpec {
        version: ConfigVersion(1),
        replicas: 3,
        window: Duration::from_secs(10),
        members,
    })
    .unwrap();
    let replicas_by_key: Vec<String> = (0..8)
        .map(|n| {
            let replicas = config.replicas_of(format!("key{n}").as_bytes());
            replicas.iter().map(|id| names[id].as_str()).collect::<Vec<_>>().join(" ")
        })
        .collect();
    assert_eq!(
        replicas_by_key.join(", "),
        "n2 n1 n3, n7 n5 n6, n8 n2 n3, n2 n5 n0, n8 n3 n2, n7 n4 n2, n5 n0 n3, n5 n0 n3"
    );
}
