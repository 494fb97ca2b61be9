use super::*;

/// Encodes a frame with these records, at one microsecond on the simulator's clock.
fn frame(records: &[&[u8]]) -> Vec<u8> {
    let body = records.concat();
    let mut frame = (body.len() as u32 + 12).to_le_bytes().to_vec();
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(1u64.to_le_bytes());
    frame.extend(body);
    frame
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_end_of_input_is_not_an_error() {
    let mut output = Vec::new();
    assert_eq!(serve(&mut &frame(&[])[..], &mut output), Ok(()));
    assert_eq!(output, vec![0; 8]);
}

#[test]
fn malformed_input_is_an_error_and_writes_no_reply() {
    let unknown_backend: &[&[u8]] = &[&[9, 1, 0], &[6, 1, 0, 0, 0]];
    let no_backend_selected: &[&[u8]] = &[&[6, 1, 0, 0, 0]];
    let bad_settings: &[&[u8]] = &[&[9, 1, 0], &[0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, b'{']];
    for records in [unknown_backend, no_backend_selected, bad_settings] {
        let mut output = Vec::new();
        assert!(serve(&mut &frame(records)[..], &mut output).is_err());
        assert!(output.is_empty());
    }
}
