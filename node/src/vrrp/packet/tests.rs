use super::*;

fn advertisement() -> Advertisement {
    let addresses = vec![Ipv4Addr::new(127, 0, 1, 1), Ipv4Addr::new(127, 0, 1, 2)];
    Advertisement { vrid: 51, priority: 100, interval: Duration::from_secs(1), addresses }
}

#[test]
fn the_encoding_matches_the_rfc() {
    let one = Advertisement { addresses: vec![Ipv4Addr::new(127, 0, 1, 1)], ..advertisement() };
    // The checksum: the sum of 3133 6401 0064 7f00 0101 is 0x11599, folded 0x159a, and its complement is
    // 0xea65.
    assert_eq!(one.encode(), [0x31, 51, 100, 1, 0, 100, 0xea, 0x65, 127, 0, 1, 1]);
    assert_eq!(Advertisement::decode(&advertisement().encode()), Ok(advertisement()));
}

#[test]
fn each_defect_of_a_packet_has_its_own_error() {
    let good = advertisement().encode();
    let with = |at: usize, byte: u8| {
        let mut bytes = good.clone();
        bytes[at] = byte;
        Advertisement::decode(&bytes)
    };
    assert_eq!(with(0, 0x21), Err(Malformed::Version(2)));
    assert_eq!(with(0, 0x32), Err(Malformed::Kind(2)));
    assert_eq!(with(2, 101), Err(Malformed::Checksum));
    assert_eq!(with(3, 3), Err(Malformed::Short));
    assert_eq!(Advertisement::decode(&good[..7]), Err(Malformed::Short));
    assert_eq!(Advertisement::decode(&[]), Err(Malformed::Short));
    let none = Advertisement { addresses: vec![], ..advertisement() };
    assert_eq!(Advertisement::decode(&none.encode()), Err(Malformed::Addresses));
    let zero_interval = Advertisement { interval: Duration::ZERO, ..advertisement() };
    assert_eq!(Advertisement::decode(&zero_interval.encode()), Err(Malformed::Interval));
    let longer = [&good[..], &[0, 0, 0, 0]].concat();
    assert_eq!(Advertisement::decode(&longer), Err(Malformed::Addresses));
}
