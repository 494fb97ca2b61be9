use super::*;

#[test]
fn messages_come_off_whole_and_nonsense_is_named() {
    let value = |words: &mut dyn Iterator<Item = &[u8]>| words.next() == Some(b"VALUE");
    let mut buffer = BytesMut::from(&b"TRACE 1 x y\r\nVALUE 2 a done 7 3\r\n\r\nz\r\nVALUE 3 "[..]);
    let first = take(&mut buffer, value).unwrap().unwrap();
    assert_eq!((first.word(0), first.body.as_deref()), (Bytes::from("TRACE"), None));
    let second = take(&mut buffer, value).unwrap().unwrap();
    assert_eq!((second.number::<u64>(1).unwrap(), second.body.as_deref()), (2, Some(&b"\r\nz"[..])));
    assert_eq!(take(&mut buffer, value).unwrap(), None);
    buffer.extend_from_slice(b"a done 7 3\r\nabcde");
    assert!(take(&mut buffer, value).is_err());
    assert!(take(&mut BytesMut::from(&b"no return\n"[..]), value).is_err());
    assert!(take(&mut BytesMut::from(&b"VALUE 99999999999999999999\r\n"[..]), value).is_err());
}
