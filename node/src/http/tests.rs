use super::*;

#[test]
fn a_call_is_known_once_its_head_is_whole() {
    let head = b"PUT /ops/drain/start?now HTTP/1.1\r\nHost: n1\r\n\r\n";
    let named = ("PUT".to_string(), "/ops/drain/start".to_string());
    assert_eq!(call(head), Ok(Some(named)));
    assert_eq!(call(&head[..40]), Ok(None));
    assert!(call(b"\x16\x03\x01 hello").is_err());
}
