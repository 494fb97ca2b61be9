use super::*;

#[test]
fn messages_are_decoded_once_they_are_complete_and_malformed_ones_are_errors() {
    let value = |words: &mut dyn Iterator<Item = &[u8]>| words.next() == Some(b"VALUE");
    let mut buffer = BytesMut::from(&b"TRACE 1 x y\r\nVALUE 2 a done 7 3\r\n\r\nz\r\nVALUE 3 "[..]);
    let first = decode(&mut buffer, value).unwrap().unwrap();
    assert_eq!((first.field(0), first.body.as_deref()), (Bytes::from("TRACE"), None));
    let second = decode(&mut buffer, value).unwrap().unwrap();
    assert_eq!((second.numeric_field::<u64>(1).unwrap(), second.body.as_deref()), (2, Some(&b"\r\nz"[..])));
    assert_eq!(decode(&mut buffer, value).unwrap(), None);
    buffer.extend_from_slice(b"a done 7 3\r\nabcde");
    assert!(decode(&mut buffer, value).is_err());
    assert!(decode(&mut BytesMut::from(&b"no return\n"[..]), value).is_err());
    assert!(decode(&mut BytesMut::from(&b"VALUE 99999999999999999999\r\n"[..]), value).is_err());
}

#[test]
fn an_encoded_message_is_its_fields_its_length_and_its_body() {
    let mut output = BytesMut::new();
    encode(&mut output, &[b"STUB", b"a2", b"3"], None);
    encode(&mut output, &[b"APPLY", b"a1", b"book"], Some(b"re\r\nl"));
    encode(&mut output, &[b"RESOLVE", b"a1"], Some(b""));
    assert_eq!(&output[..], b"STUB a2 3\r\nAPPLY a1 book 5\r\nre\r\nl\r\nRESOLVE a1 0\r\n\r\n");
}
