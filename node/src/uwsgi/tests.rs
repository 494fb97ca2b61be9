use super::*;
use crate::test_support::hex;

#[test]
fn an_encoded_packet_is_decoded_and_a_truncated_one_is_not() {
    let packet =
        encode_packet(&[Variable::new("PATH_INFO", b"/book"), Variable::new("EMPTY", b"")]).unwrap().freeze();
    let head = PacketHead::parse(&packet).unwrap();
    assert_eq!((head.modifier1, head.size, head.modifier2), (0, packet.len() - HEAD_BYTES, 0));
    let variables = Variables::parse(packet.slice(HEAD_BYTES..)).unwrap();
    assert_eq!((variables.text("PATH_INFO"), variables.text("EMPTY")), (Some("/book"), None));
    assert_eq!(PacketHead::parse(&packet[..3]), None);
    for cut in HEAD_BYTES + 1..packet.len() {
        let decoded = Variables::parse(packet.slice(HEAD_BYTES..cut));
        assert!(decoded.is_none() || cut == HEAD_BYTES + 2 + 9 + 2 + 5, "cut at {cut}");
    }
}

/// The bytes that uwsgi servers read, which must not change.
#[test]
fn a_packet_is_encoded_to_its_golden_bytes() {
    let packet =
        encode_packet(&[Variable::new("PATH_INFO", b"/book"), Variable::new("QUERY_STRING", b"")]).unwrap();
    assert_eq!(hex(&packet), "002200000900504154485f494e464f05002f626f6f6b0c0051554552595f535452494e470000");
}
