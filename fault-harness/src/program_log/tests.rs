use super::*;

#[test]
fn log_lines_of_present_and_earlier_releases_are_parsed_alike() {
    let address: SocketAddr = "127.0.0.1:4100".parse().unwrap();
    for line in [
        "1796190601.221 frontend: listening: protocol=JSON-RPC address=127.0.0.1:4100",
        "1796190601.221 JSON-RPC is served at 127.0.0.1:4100",
    ] {
        assert_eq!(
            LogLine::parse(line),
            LogLine { serving_at: Some(address), ..LogLine::default() },
            "{line}"
        );
    }
    for line in ["1.0 vrrp: role changed: vrid=51 role=Active", "1.0 vrrp 51: Active"] {
        assert_eq!(LogLine::parse(line).router_active, Some(true), "{line}");
    }
    for line in ["1.0 vrrp: role changed: vrid=51 role=Backup", "1.0 vrrp 51: Backup"] {
        assert_eq!(LogLine::parse(line).router_active, Some(false), "{line}");
    }
    for text in ["replica table complete: keys=7", "has what it needs to vote, 7 keys are known"] {
        let line = LogLine::parse(&format!("1.0 fleet: {text}"));
        assert_eq!((line.ready_to_vote, line.fleet.as_deref()), (true, Some(text)));
    }
    assert_eq!(
        LogLine::parse("1.0 frontend: listening: protocol=uwsgi address=127.0.0.1:4100"),
        LogLine::default()
    );
    assert_eq!(LogLine::parse("1.0 health is good"), LogLine::default());
}
