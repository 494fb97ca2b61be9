use super::*;

#[test]
fn a_packet_reads_back_and_broken_ones_do_not() {
    let packet = packet(&[("PATH_INFO", b"/book"), ("EMPTY", b"")]).unwrap().freeze();
    let head = Head::parse(&packet).unwrap();
    assert_eq!((head.modifier1, head.size, head.modifier2), (0, packet.len() - HEAD_BYTES, 0));
    let vars = Vars::parse(packet.slice(HEAD_BYTES..)).unwrap();
    assert_eq!((vars.text("PATH_INFO"), vars.text("EMPTY")), (Some("/book"), None));
    assert_eq!(Head::parse(&packet[..3]), None);
    for cut in HEAD_BYTES + 1..packet.len() {
        let whole = Vars::parse(packet.slice(HEAD_BYTES..cut));
        assert!(whole.is_none() || cut == HEAD_BYTES + 2 + 9 + 2 + 5, "cut at {cut}");
    }
}
