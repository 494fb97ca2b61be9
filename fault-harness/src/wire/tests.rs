use super::*;

#[test]
fn messages_of_a_node_are_recognized() {
    let cases = [
        (
            r#"{"jsonrpc":"2.0","id":7,"result":{"content":"cg=="}}"#,
            NodeMessage::Served { id: 7, content: "cg==".into() },
        ),
        (
            r#"{"jsonrpc":"2.0","id":7,"error":{"code":-32011,"message":"not now","data":{"later":250,"giveup":1}}}"#,
            NodeMessage::Rejected { id: 7, retry_after: Some(250.0), give_up: true },
        ),
        (
            r#"{"jsonrpc":"2.0","id":7,"error":{"code":-32011,"message":"not now"}}"#,
            NodeMessage::Rejected { id: 7, retry_after: None, give_up: false },
        ),
        (
            r#"{"jsonrpc":"2.0","id":7,"error":{"code":-32001,"message":"out of time"}}"#,
            NodeMessage::Failed { id: 7 },
        ),
        (r#"{"jsonrpc":"2.0","id":1,"result":{"up":true}}"#, NodeMessage::Status { id: 1, up: true }),
        (DRAINING, NodeMessage::Draining),
        (r#"{"jsonrpc":"2.0","id":7}"#, NodeMessage::Unrecognized),
        ("HTTP/1.1 200 OK", NodeMessage::Unrecognized),
    ];
    for (line, expected) in cases {
        assert_eq!(parse_node_message(line), expected, "{line}");
    }
}

#[test]
fn a_request_is_one_line_of_json_with_and_without_a_key() {
    let request = Request {
        id: 3,
        txn: "a1",
        class: "book",
        received_at: 5,
        frontend: 1,
        tenant: "acme",
        time_limit_ms: 300,
        cost_hint_ms: 1.5,
        memory_kb: 24.5,
        idempotency_key: Some("k"),
        content: "Ym9keQ==",
    };
    let text = request.to_string();
    let json: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!((json["params"]["unique"].as_str(), json["method"].as_str()), (Some("k"), Some("book")));
    assert!(text.ends_with("}\n") && text.lines().count() == 1);
    let keyed = r#"{"jsonrpc":"2.0","id":3,"method":"book","params":{"txn":"a1","door":5,"lb":1,"team":"acme","limit":300,"cpu":1.50,"ram":24.5,"standing":0.5,"unique":"k","content":"Ym9keQ=="}}"#;
    assert_eq!(text, format!("{keyed}\n"));
    let without_key = Request { idempotency_key: None, ..request };
    assert_eq!(without_key.to_string(), format!("{}\n", keyed.replace(r#""unique":"k","#, "")));
}
