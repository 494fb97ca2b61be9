use super::*;

#[test]
fn a_call_is_decoded_once_its_head_is_complete() {
    let head = b"PUT /ops/drain/start?now HTTP/1.1\r\nHost: n1\r\n\r\n";
    let call = Call { method: "PUT".to_string(), path: "/ops/drain/start".to_string() };
    assert_eq!(parse_call(head), Ok(Some(call)));
    assert_eq!(parse_call(&head[..40]), Ok(None));
    assert!(parse_call(b"\x16\x03\x01 hello").is_err());
}
