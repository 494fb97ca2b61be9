use super::*;
use crate::result_store::segment::{scan, ScanItem};
use crate::test_support::{bytes, hex};

const SEED: u64 = 0x0102_0304_0506_0708;

fn record(state: RecordState, result: &'static [u8]) -> Record {
    Record {
        number: 0x0a0b,
        written_at: Duration::from_millis(1_796_189_334_822),
        expires_at: Duration::from_millis(1_796_275_334_922),
        body_digest: BodyDigest(0xf0f1_f2f3_f4f5_f6f7),
        state,
        key: Bytes::from_static(b"key"),
        result: Bytes::from_static(result),
    }
}

/// Stored format: records written by earlier releases must stay readable, so these bytes must not change.
#[test]
fn each_record_state_encodes_to_its_golden_bytes_and_decodes_from_them() {
    for (record, golden) in [
        (record(RecordState::Started, b""), "4f414b528d9f1fae0000000000000a0bc5bf435d0888477af0f1f2f3f4f5f6f7000001a23a5a6f0a000001a2353a2d260001000300000000ffacae956b6579"),
        (record(RecordState::Succeeded, b"\0job\xff"), "4f414b52b04d05b70000000000000a0bc5bf435d0888477af0f1f2f3f4f5f6f7000001a23a5a6f0a000001a2353a2d2600020003000000050b16a2b16b6579006a6f62ff"),
        (record(RecordState::Failed, b""), "4f414b52341d41870000000000000a0bc5bf435d0888477af0f1f2f3f4f5f6f7000001a23a5a6f0a000001a2353a2d260003000300000000ffacae956b6579"),
        (record(RecordState::NeverStarted, b""), "4f414b522a2392570000000000000a0bc5bf435d0888477af0f1f2f3f4f5f6f7000001a23a5a6f0a000001a2353a2d260004000300000000ffacae956b6579"),
    ] {
        let mut encoded = BytesMut::new();
        record.encode(SEED, &mut encoded);
        assert_eq!(hex(&encoded), golden, "{:?}", record.state);
        assert_eq!(scan(SEED, &bytes(golden).into()), [ScanItem::Intact(record)]);
    }
}
