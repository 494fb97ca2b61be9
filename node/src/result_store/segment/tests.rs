use super::*;
use crate::test_support::hex;

const SEED: u64 = 0x0102_0304_0506_0708;

/// Stored format: segments written by earlier releases must stay readable, so these bytes must not change.
#[test]
fn a_segment_header_encodes_to_its_golden_bytes_and_decodes_from_them() {
    let golden = "4f414b57494e440101020304050607080000000000000a0b000001a2353a2d264d3aba2a26104250";
    let created_at = Duration::from_millis(1_796_189_334_822);
    let header = SegmentHeader { seed: SEED, first_record: 0x0a0b, created_at };
    let mut encoded = BytesMut::new();
    header.encode(&mut encoded);
    assert_eq!(hex(&encoded), golden);
    assert_eq!(SegmentHeader::decode(&encoded), Some(header));
}

#[test]
fn a_segment_file_is_named_by_its_number_in_hexadecimal() {
    let path = segment_path(Path::new("/folder"), SegmentNumber(0x1f));
    assert_eq!(path, Path::new("/folder/keys-000000000000001f.log"));
    assert_eq!(segment_number("keys-000000000000001f.log"), Some(SegmentNumber(0x1f)));
    assert_eq!(segment_number("seed"), None);
}
