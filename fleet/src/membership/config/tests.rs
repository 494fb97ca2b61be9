use super::*;
use crate::test_support::{config, spec};

fn twelve_nodes() -> Vec<usize> {
    (1..=12).collect()
}

fn zones_of<'a>(config: &'a MembershipConfig, replicas: &[NodeId]) -> BTreeSet<&'a str> {
    replicas.iter().map(|id| config.member(*id).unwrap().zone.as_str()).collect()
}

#[test]
fn replicas_are_in_different_zones_and_evenly_distributed() {
    let config = config(1, &twelve_nodes(), 3);
    let mut counts: BTreeMap<NodeId, usize> = BTreeMap::new();
    for n in 0..3000_u32 {
        let replicas = config.replicas_of(&n.to_be_bytes());
        assert_eq!((replicas.len(), zones_of(&config, &replicas).len()), (3, 3));
        replicas.into_iter().for_each(|id| *counts.entry(id).or_default() += 1);
    }
    assert!(counts.values().all(|count| (600..900).contains(count)), "{counts:?}");
}

#[test]
fn with_fewer_zones_or_members_than_replicas_all_of_them_hold_replicas() {
    let two_zones = config(1, &twelve_nodes(), 2);
    for n in 0..100_u32 {
        let replicas = two_zones.replicas_of(&n.to_be_bytes());
        assert_eq!((replicas.len(), zones_of(&two_zones, &replicas).len()), (3, 2));
    }
    let two_members = config(1, &[1, 2], 1);
    assert_eq!((two_members.replicas_of(b"k").len(), two_members.quorum()), (2, 2));
}

#[test]
fn adding_a_member_moves_few_replicas() {
    let (before, after) = (config(1, &twelve_nodes(), 1), config(2, &(1..=13).collect::<Vec<_>>(), 1));
    let is_moved = |n: &u32| before.replicas_of(&n.to_be_bytes()) != after.replicas_of(&n.to_be_bytes());
    let moved = (0..1300_u32).filter(is_moved).count();
    assert!(
        (200..400).contains(&moved),
        "expected about 3 in 13 keys to change, that is 300 of 1300: {moved}"
    );
}

#[test]
fn a_config_that_removes_a_quorum_of_the_replicas_of_some_key_is_rejected() {
    let before = config(1, &twelve_nodes(), 3);
    let without = |removed: &[usize]| {
        let left: Vec<usize> = twelve_nodes().into_iter().filter(|n| !removed.contains(n)).collect();
        config(2, &left, 3).check_follows(&before)
    };
    assert!(without(&[4]).is_ok());
    assert!(without(&[1, 4, 7, 10]).is_ok(), "one zone holds only one replica of each key");
    let error = without(&[1, 2]).unwrap_err().to_string();
    assert!(error.contains("n1, n2 (2 in all)") && error.contains("2 of their 3 replicas"), "{error}");
    let mut moved = spec(2, &twelve_nodes(), 3);
    moved.members[0].address.set_port(1);
    assert!(MembershipConfig::new(moved.clone()).unwrap().check_follows(&before).is_ok());
    moved.members[1].address.set_port(1);
    assert!(
        MembershipConfig::new(moved).unwrap().check_follows(&before).is_err(),
        "two members with new addresses count as replaced"
    );
}

#[test]
fn max_replicas_among_nodes_is_the_exact_maximum_over_all_keys() {
    for zones in 1..=4 {
        let config = config(1, &twelve_nodes(), zones);
        for nodes in [&[1, 2][..], &[1, 5, 9], &[2, 3, 4, 8, 12]] {
            let ids: BTreeSet<NodeId> = nodes.iter().map(|n| NodeId::of(&format!("n{n}"))).collect();
            let among =
                |n: u32| config.replicas_of(&n.to_be_bytes()).iter().filter(|id| ids.contains(id)).count();
            let most = (0..20_000).map(among).max().unwrap();
            assert_eq!(most, config.max_replicas_among(&ids), "{zones} zones, {nodes:?}");
        }
    }
}

#[test]
fn an_invalid_config_is_rejected_with_an_error_that_names_the_key() {
    let error = |change: fn(&mut MembershipSpec)| {
        let mut spec = spec(1, &[1, 2, 3], 1);
        change(&mut spec);
        MembershipConfig::new(spec).unwrap_err().to_string()
    };
    assert!(error(|spec| spec.version = ConfigVersion(0)).starts_with("list.number"));
    assert!(error(|spec| spec.replicas = 0).starts_with("list.copies"));
    assert!(error(|spec| spec.members.clear()).starts_with("list.members"));
    assert!(error(|spec| spec.window = Duration::ZERO).starts_with("list.window_ms"));
    assert!(error(|spec| spec.members[2].name = "n1".into()).starts_with("list.members[2].name"));
    assert!(error(|spec| spec.members[0].zone.clear()).starts_with("list.members[0]"));
}

#[test]
fn the_digest_covers_zones_but_not_addresses() {
    let mut spec = spec(1, &[1, 2, 3], 1);
    let digest = config(1, &[1, 2, 3], 1).digest();
    spec.members[0].address.set_port(1);
    assert_eq!(MembershipConfig::new(spec.clone()).unwrap().digest(), digest);
    spec.members[0].zone = "other".into();
    assert_ne!(MembershipConfig::new(spec).unwrap().digest(), digest);
}
