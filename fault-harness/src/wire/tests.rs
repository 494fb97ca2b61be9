use super::*;

#[test]
fn what_a_node_says_is_told_apart() {
    let cases = [
        (r#"{"jsonrpc":"2.0","id":7,"result":{"content":"cg=="}}"#, NodeMessage::Served(7, "cg==".into())),
        (
            r#"{"jsonrpc":"2.0","id":7,"error":{"code":-32011,"message":"not now","data":{"later":250,"giveup":1}}}"#,
            NodeMessage::Refused(7, Some(250.0), true),
        ),
        (
            r#"{"jsonrpc":"2.0","id":7,"error":{"code":-32011,"message":"not now"}}"#,
            NodeMessage::Refused(7, None, false),
        ),
        (
            r#"{"jsonrpc":"2.0","id":7,"error":{"code":-32001,"message":"out of time"}}"#,
            NodeMessage::Failed(7),
        ),
        (r#"{"jsonrpc":"2.0","id":1,"result":{"up":true}}"#, NodeMessage::Status(1, true)),
        (DRAINING, NodeMessage::Draining),
        (r#"{"jsonrpc":"2.0","id":7}"#, NodeMessage::Noise),
        ("HTTP/1.1 200 OK", NodeMessage::Noise),
    ];
    for (line, wanted) in cases {
        assert_eq!(parse_node_message(line), wanted, "{line}");
    }
}

#[test]
fn a_request_is_one_line_of_json() {
    let request = Request {
        id: 3,
        txn: "a1",
        class: "book",
        door: 5,
        front: 1,
        team: "acme",
        limit: 300,
        cpu: 1.5,
        ram: 24.5,
        key: Some("k"),
        content: "Ym9keQ==",
    };
    let text = request.to_string();
    let json: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!((json["params"]["unique"].as_str(), json["method"].as_str()), (Some("k"), Some("book")));
    assert!(text.ends_with("}\n") && text.lines().count() == 1);
}
