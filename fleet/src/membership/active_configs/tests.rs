use super::*;
use crate::test_support::{config, id, spec};
use std::time::Duration;

fn at(seconds: u64) -> Time {
    Duration::from_secs(seconds)
}

fn version(number: u64) -> ConfigVersion {
    ConfigVersion(number)
}

fn initial() -> ActiveConfigs {
    ActiveConfigs::new(id(1), Arc::new(config(1, &[1, 2, 3, 4], 1)))
}

fn versions(configs: &ActiveConfigs) -> Vec<u64> {
    configs.versions().iter().map(|version| version.0).collect()
}

#[test]
fn a_higher_version_is_adopted_and_a_lower_or_reused_version_is_rejected() {
    let mut configs = initial();
    let next = Arc::new(config(3, &[1, 2, 3, 4, 5], 1));
    assert_eq!(configs.propose(next.clone()), Ok(Proposal::Adopted));
    assert_eq!(configs.propose(next), Ok(Proposal::Unchanged));
    let is_rejected = |proposal: Result<Proposal, ProposalError>| {
        proposal.is_err_and(|error| error.to_string().starts_with("list.number: "))
    };
    assert!(is_rejected(configs.propose(Arc::new(config(2, &[1, 2, 3, 4], 1)))));
    let mut other = spec(3, &[1, 2, 3, 4, 5], 1);
    other.members[0].address.set_port(1);
    assert!(is_rejected(configs.propose(Arc::new(MembershipConfig::new(other).unwrap()))));
    assert!(configs.propose(Arc::new(config(4, &[1, 2, 3], 1))).is_err());
    assert_eq!(versions(&configs), [1, 3]);
}

#[test]
fn a_config_is_retired_one_window_after_all_but_a_minority_have_adopted_the_next() {
    let mut configs = initial();
    configs.propose(Arc::new(config(2, &[1, 2, 3, 5], 1))).unwrap();
    assert_eq!(configs.tick(at(1)), None);
    configs.record_adopted(id(2), version(2));
    assert_eq!(
        configs.tick(at(100)),
        None,
        "the two members that have not adopted it may hold a quorum of one key"
    );
    configs.record_adopted(id(3), version(2));
    assert_eq!(configs.tick(at(200)), None);
    assert_eq!(configs.tick(at(217)), None, "keys that only its replicas know are still retained");
    assert_eq!(configs.tick(at(218)), Some(version(1)));
    assert_eq!(versions(&configs), [2]);
    assert!(!configs.is_missing(version(1)), "a retired version is not missing");
    let mut other = initial();
    other.propose(Arc::new(config(2, &[1, 2, 3, 5], 1))).unwrap();
    let retired_through = configs.retired_through();
    assert!(
        other.retire_through(retired_through) && !other.retire_through(retired_through),
        "a version that one node retired is retired on another node, once"
    );
    assert_eq!((versions(&other), other.is_missing(version(1))), (vec![2], false));
    assert_eq!(configs.tick(at(500)), None, "the newest configuration is never retired");
}

#[test]
fn a_config_from_a_peer_becomes_active_and_the_number_of_active_configs_is_bounded() {
    let mut configs = initial();
    assert!(configs.add_from_peer(Arc::new(config(3, &[1, 2, 3, 4, 5], 1))));
    assert!(configs.add_from_peer(Arc::new(config(2, &[1, 2, 3, 4], 1))));
    assert!(!configs.add_from_peer(Arc::new(config(2, &[1, 2, 3, 4], 1))));
    assert_eq!(versions(&configs), [1, 2, 3]);
    let mut own_addresses = spec(3, &[1, 2, 3, 4, 5], 1);
    own_addresses.members[0].address.set_port(1);
    let own_addresses = Arc::new(MembershipConfig::new(own_addresses).unwrap());
    assert_eq!(
        configs.propose(own_addresses.clone()),
        Ok(Proposal::Adopted),
        "the operators' addresses replace those from the peer"
    );
    assert_eq!(configs.newest(), &own_addresses);
    let reused = configs.propose(Arc::new(config(3, &[1, 2, 3, 4, 5], 1)));
    assert_eq!(reused, Err(ProposalError::VersionReused { version: version(3) }));
    let signature = |number| ConfigSignature { version: version(number), digest: 1 };
    assert!(configs.conflicts_with(signature(2)) && !configs.conflicts_with(signature(7)));
    let fourth = configs.propose(Arc::new(config(4, &[1, 2, 3, 4, 5], 1)));
    assert_eq!(fourth, Ok(Proposal::Adopted));
    let fifth = configs.propose(Arc::new(config(5, &[1, 2, 3, 4, 5], 1))).unwrap_err();
    assert!(fifth.to_string().contains("wait until 1 is retired"), "{fifth}");
}
