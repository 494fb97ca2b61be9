use std::net::TcpListener;

use super::*;

#[test]
fn claimed_blocks_are_distinct_and_a_dropped_block_is_released() {
    let first = LoopbackBlock::claim().unwrap();
    let second = LoopbackBlock::claim().unwrap();
    assert_ne!(first.address(0, 1), second.address(0, 1));
    let freed = first.second_octet;
    drop(first);
    let [third_octet, fourth_octet] = LOCK_HOST;
    let lock_address = Ipv4Addr::new(127, freed, third_octet, fourth_octet);
    UdpSocket::bind((lock_address, LOCK_PORT)).unwrap();
}

#[test]
fn process_block_is_the_same_at_each_call() {
    let block = process_block().unwrap();
    assert_eq!(block.address(3, 4), process_block().unwrap().address(3, 4));
    TcpListener::bind((block.address(3, 4), 0)).unwrap();
}
