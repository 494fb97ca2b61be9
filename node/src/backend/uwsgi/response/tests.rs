use super::*;

#[test]
fn heads_of_responses_are_decoded_and_malformed_ones_rejected() {
    let input = b"HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nno";
    let head =
        ResponseHead { size: input.len() - 2, status: 503, content_length: Some(2), has_retry_after: true };
    assert_eq!(parse_head(input).unwrap(), Some(head));
    assert_eq!(parse_head(&input[..30]).unwrap(), None);
    assert!(parse_head(b"SSH-2.0-hello\r\n").is_err());
    assert!(parse_head(b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n").is_err());
    assert!(parse_head(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err());
}
