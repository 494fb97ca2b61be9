//! Golden bytes of what nodes exchange and store: each kind of peer message, the record of a key that a node writes to
//! its disk, the decision records and the digests that all nodes must compute alike. `postcard` goes by the position of
//! variants and fields, so every field has a value of its own and a reordering shows. A name may change, these bytes not.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use oakwind_fleet::audit::{Decision, Record, Versions};
use oakwind_fleet::hash_chain::{read, Chain};
use oakwind_fleet::key_state::{ClaimId, CompletedRun, RunResult};
use oakwind_fleet::membership_config::{Member, MembershipConfig, MembershipSpec, NodeId};
use oakwind_fleet::message::{
    ClaimRequest, Completeness, ConflictingClaim, GossipUpdate, Hello, Liveness, Message, Page, RejectReason,
    ReplicaRecord, TablePosition, MESSAGE_KINDS,
};
use oakwind_fleet::staleness::StatePosition;
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

/// The value is encoded as these bytes, and these bytes are decoded as the value.
fn assert_golden<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, golden: &str) {
    let encoded = postcard::to_allocvec(value).unwrap();
    assert_eq!(hexadecimal(&encoded), golden, "{value:?}");
    let golden = bytes_of(golden);
    let (decoded, rest) = postcard::take_from_bytes::<T>(&golden).unwrap();
    assert_eq!((&decoded, rest.len()), (value, 0));
}

const KEY: Bytes = Bytes::from_static(b"key");

fn claim() -> ClaimId {
    ClaimId { node: NodeId(1001), incarnation: 1002, number: 1003 }
}

fn other_claim() -> ClaimId {
    ClaimId { node: NodeId(1004), incarnation: 1005, number: 1006 }
}

fn end(fate: RunResult) -> CompletedRun {
    CompletedRun { received_at: 1007, place: 1008, claim: other_claim(), fate, body: 1009 }
}

fn done() -> RunResult {
    RunResult::Succeeded(Bytes::from_static(b"result"))
}

fn rumors() -> Vec<GossipUpdate> {
    let rumor = |node, incarnation, count, standing| GossipUpdate {
        node: NodeId(node),
        age: (incarnation, count),
        standing,
    };
    vec![
        rumor(1010, 1011, 1012, Liveness::Alive),
        rumor(1013, 1014, 1015, Liveness::Suspect),
        rumor(1016, 1017, 1018, Liveness::Lost),
    ]
}

fn position() -> TablePosition {
    TablePosition { incarnation: 1019, until_ns: 1020, key: Bytes::from_static(b"from") }
}

fn open_record() -> ReplicaRecord {
    ReplicaRecord {
        key: KEY,
        keep_ms: 1021,
        begun: vec![(claim(), 1022), (other_claim(), 1023)],
        ended: None,
    }
}

fn ended_record(fate: RunResult) -> ReplicaRecord {
    ReplicaRecord { key: KEY, keep_ms: 1024, begun: vec![], ended: Some(end(fate)) }
}

fn list_as_sent() -> MembershipSpec {
    let member = |name: &str, address: &str, zone: &str| Member {
        name: name.into(),
        address: address.parse().unwrap(),
        zone: zone.into(),
    };
    MembershipSpec {
        number: 1025,
        copies: 2,
        window: Duration::new(1026, 1027),
        members: vec![
            member("n1", "127.0.0.1:1028", "east"),
            member("n2", "[::1]:1029", "west"),
            member("n3", "127.0.0.3:1030", "east"),
        ],
    }
}

#[test]
fn a_greeting_keeps_its_bytes() {
    let hello = Hello {
        name: "n1".into(),
        to: NodeId(u64::MAX),
        incarnation: 1031,
        lists: vec![(1032, 1033), (1034, 1035)],
        over: 1036,
        cut: true,
        seconds: 1037,
        kept: Some(StatePosition { incarnation: 1038, seconds: 1039 }),
    };
    assert_golden(
        &Message::Hello(hello.clone()),
        "00026e31ffffffffffffffffff01870802880889088a088b088c08018d08018e088f08",
    );
    let fresh = Hello { cut: false, kept: None, lists: vec![], ..hello };
    assert_golden(&Message::Hello(fresh), "00026e31ffffffffffffffffff018708008c08008d0800");
    assert_golden(&Message::Superseded { incarnation: 1040 }, "019008");
    assert_golden(
        &Message::Outdated { known: StatePosition { incarnation: 1041, seconds: 1042 } },
        "1591089208",
    );
}

#[test]
fn messages_about_membership_lists_keep_their_bytes() {
    assert_golden(&Message::AskMembershipConfig { number: 1043 }, "029308");
    assert_golden(&Message::MembershipConfig(list_as_sent()), "038108028208830803026e31007f00000184080465617374026e32010000000000000000000000000000000185080477657374026e33007f00000386080465617374");
}

#[test]
fn probes_keep_their_bytes() {
    assert_golden(
        &Message::Ping { seq: 1044, seconds: 1045, rumors: rumors() },
        "049408950803f207f307f40700f507f607f70701f807f907fa0702",
    );
    assert_golden(
        &Message::Ack { seq: 1046, seconds: 1047, rumors: rumors() },
        "059608970803f207f307f40700f507f607f70701f807f907fa0702",
    );
    assert_golden(&Message::PingFor { seq: 1048, target: NodeId(1049) }, "0698089908");
    assert_golden(&Message::AckFor { seq: 1050, target: NodeId(1051) }, "079a089b08");
}

#[test]
fn claims_and_their_answers_keep_their_bytes() {
    let asked = ClaimRequest {
        claim: claim(),
        key: KEY,
        body: u128::MAX - 1,
        keep_ms: 1052,
        lists: vec![1053, 1054],
    };
    assert_golden(
        &Message::Claim(asked),
        "08e907ea07eb07036b6579feffffffffffffffffffffffffffffffffff039c08029d089e08",
    );
    let lives = vec![(NodeId(1055), 1056), (NodeId(1057), 1058)];
    assert_golden(&Message::Granted { claim: claim(), lives }, "09e907ea07eb07029f08a008a108a208");
    let open = ConflictingClaim { claim: other_claim(), body: 1059, ended: None, past_ms: 1060 };
    assert_golden(
        &Message::Blocked { claim: claim(), by: open.clone() },
        "0ae907ea07eb07ec07ed07ee07a30800a408",
    );
    let done = ConflictingClaim { ended: Some(end(done())), ..open.clone() };
    assert_golden(
        &Message::Blocked { claim: claim(), by: done },
        "0ae907ea07eb07ec07ed07ee07a30801ef07f007ec07ed07ee070006726573756c74f107a408",
    );
    let failed = ConflictingClaim { ended: Some(end(RunResult::Failed)), ..open };
    assert_golden(
        &Message::Blocked { claim: claim(), by: failed },
        "0ae907ea07eb07ec07ed07ee07a30801ef07f007ec07ed07ee0701f107a408",
    );
    assert_golden(&Message::Release { key: KEY, claim: claim() }, "0e036b6579e907ea07eb07");
    assert_golden(&Message::Ask { claim: claim(), key: KEY }, "0fe907ea07eb07036b6579");
    assert_golden(&Message::Free { claim: claim() }, "10e907ea07eb07");
    assert_golden(&Message::What { key: KEY, claim: claim(), body: 1061 }, "11036b6579e907ea07eb07a508");
}

#[test]
fn each_reason_why_a_copy_can_not_say_keeps_its_byte() {
    let reasons = [
        (RejectReason::Returning, "00"),
        (RejectReason::Unheard, "01"),
        (RejectReason::Full, "02"),
        (RejectReason::Superseded, "03"),
        (RejectReason::ActiveConfigs, "04"),
        (RejectReason::Contradicted, "05"),
        (RejectReason::Unkept, "06"),
        (RejectReason::Unreached, "07"),
        (RejectReason::Unlisted, "08"),
        (RejectReason::Late, "09"),
        (RejectReason::Past, "0a"),
        (RejectReason::Freed, "0b"),
    ];
    for (why, byte) in reasons {
        assert_golden(&why, byte);
        assert_golden(&Message::Unsure { claim: claim(), why }, &format!("0be907ea07eb07{byte}"));
    }
}

#[test]
fn results_of_runs_keep_their_bytes() {
    assert_golden(
        &Message::Ended { key: KEY, keep_ms: 1062, end: end(done()) },
        "0c036b6579a608ef07f007ec07ed07ee070006726573756c74f107",
    );
    assert_golden(
        &Message::Ended { key: KEY, keep_ms: 1063, end: end(RunResult::Failed) },
        "0c036b6579a708ef07f007ec07ed07ee0701f107",
    );
    assert_golden(&Message::Kept { claim: claim(), kept: true }, "0de907ea07eb0701");
    assert_golden(&Message::Kept { claim: claim(), kept: false }, "0de907ea07eb0700");
}

#[test]
fn parts_of_a_table_keep_their_bytes() {
    assert_golden(&Message::Pull { round: 1064, from: None }, "12a80800");
    assert_golden(&Message::Pull { round: 1065, from: Some(position()) }, "12a90801fb07fc070466726f6d");
    let first = Page {
        round: 1066,
        records: vec![open_record(), ended_record(done())],
        next: Some(position()),
        sound: Completeness::CompleteWith(vec![NodeId(1067), NodeId(1068)]),
    };
    assert_golden(&Message::Page(first), "13aa0802036b6579fd0702e907ea07eb07fe07ec07ed07ee07ff0700036b657980080001ef07f007ec07ed07ee070006726573756c74f10701fb07fc070466726f6d0102ab08ac08");
    let last = Page { round: 1069, records: vec![], next: None, sound: Completeness::Complete };
    assert_golden(&Message::Page(last), "13ad08000000");
    assert_golden(&Message::Away { round: 1070, after_ms: 1071 }, "14ae08af08");
}

#[test]
fn there_are_as_many_kinds_of_messages_as_before() {
    assert_eq!(MESSAGE_KINDS, 22);
}

/// What a node writes to its disk of a key: its own vote, and what it knows.
#[test]
fn stored_records_of_keys_keep_their_bytes() {
    assert_golden(
        &(Some(claim()), open_record()),
        "01e907ea07eb07036b6579fd0702e907ea07eb07fe07ec07ed07ee07ff0700",
    );
    assert_golden(
        &(Some(claim()), ended_record(done())),
        "01e907ea07eb07036b657980080001ef07f007ec07ed07ee070006726573756c74f107",
    );
    assert_golden(
        &(None::<ClaimId>, ended_record(RunResult::Failed)),
        "00036b657980080001ef07f007ec07ed07ee0701f107",
    );
}

fn versions() -> Versions {
    Versions { settings: "digest".into(), list: 1072, program: "1.2.3".into() }
}

fn decision(did: Decision, key: Option<&str>) -> Record {
    Record::Try {
        at: 1073,
        did,
        txn: "try".into(),
        key: key.map(Into::into),
        class: "book".into(),
        by: versions(),
    }
}

#[test]
fn decision_records_keep_their_text() {
    let by = r#""by":{"settings":"digest","list":1072,"program":"1.2.3"}"#;
    let tried = |did: &str, key: &str| {
        format!(r#"{{"e":"try","at":1073,"did":"{did}","txn":"try",{key}"class":"book",{by}}}"#)
    };
    let records = [
        (
            Record::Began { at: 1074, node: "n1".into(), by: versions() },
            format!(r#"{{"e":"began","at":1074,"node":"n1",{by}}}"#),
        ),
        (decision(Decision::Run, Some("key")), tried("run", r#""key":"key","#)),
        (decision(Decision::Unrun, None), tried("unrun", "")),
        (decision(Decision::Served, None), tried("served", "")),
        (decision(Decision::Refused, None), tried("refused", "")),
        (decision(Decision::Failed, None), tried("failed", "")),
        (Record::Dropped { at: 1075, count: 1076 }, r#"{"e":"dropped","at":1075,"count":1076}"#.into()),
        (Record::Ended { at: 1077 }, r#"{"e":"ended","at":1077}"#.into()),
    ];
    for (record, text) in records {
        assert_eq!(serde_json::to_string(&record).unwrap(), text);
        assert_eq!(serde_json::from_str::<Record>(&text).unwrap(), record);
    }
}

#[test]
fn chained_lines_keep_their_text() {
    let (mut chain, mut text) = (Chain::default(), String::new());
    chain.seal("{}", &mut text);
    chain.seal("{\"a\":1}", &mut text);
    assert_eq!(text, "1 798c59c556b9bb887b0f0031b6a025cc {}\n2 bc89d8aa62eac68cc6961bcd64ff5938 {\"a\":1}\n");
    let found = read(&text, &mut Chain::default());
    assert_eq!((found.records, found.breaks), (vec![(1, "{}"), (2, "{\"a\":1}")], vec![]));
}

/// Nodes of two builds must agree on who is who, on what a list says and on who holds which key.
#[test]
fn digests_that_nodes_share_keep_their_values() {
    assert_eq!(format!("{:x}", NodeId::of("n1").0), "705db633e061d248");
    let list = MembershipConfig::new(list_as_sent()).unwrap();
    assert_eq!(format!("{:x}", list.digest()), "51d764d4bed1f886");
    let members: Vec<Member> = (0..9)
        .map(|n| Member {
            name: format!("n{n}"),
            address: ([127, 0, 0, 1], 7000 + n).into(),
            zone: format!("z{}", n % 4),
        })
        .collect();
    let names: BTreeMap<NodeId, String> =
        members.iter().map(|member| (NodeId::of(&member.name), member.name.clone())).collect();
    let list = MembershipConfig::new(MembershipSpec {
        number: 1,
        copies: 3,
        window: Duration::from_secs(10),
        members,
    })
    .unwrap();
    let replicas_of: Vec<String> = (0..8)
        .map(|n| {
            let replicas_of = list.replicas_of(format!("key{n}").as_bytes());
            replicas_of.iter().map(|id| names[id].as_str()).collect::<Vec<_>>().join(" ")
        })
        .collect();
    assert_eq!(
        replicas_of.join(", "),
        "n2 n1 n3, n7 n5 n6, n8 n2 n3, n2 n5 n0, n8 n3 n2, n7 n4 n2, n5 n0 n3, n5 n0 n3"
    );
}
