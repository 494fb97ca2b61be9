use super::*;

#[test]
fn heads_of_responses_are_read_and_nonsense_is_named() {
    let head = b"HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nno";
    assert_eq!(parse_head(head).unwrap(), Some((head.len() - 2, 503, Some(2), true)));
    assert_eq!(parse_head(&head[..30]).unwrap(), None);
    assert!(parse_head(b"SSH-2.0-hello\r\n").is_err());
    assert!(parse_head(b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n").is_err());
    assert!(parse_head(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err());
}
