use std::time::Duration;

use oakwind_admission::{Action, CallerId, Event, RequestId, TimerId};

use super::*;

/// Decodes hexadecimal text; white space is ignored.
fn bytes_from_hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap()).collect()
}

/// Body of a frame with an arrival, a timer and a cancellation, addressed to two backends.
fn sample_batch() -> Vec<u8> {
    bytes_from_hex(
        "05000000 5a5c800000000000 09 0300 \
         01 c4913a5d 192b6f0e e02e0000 0000 0000 0000c441 01 640ad2557c3bf091 3a070000 \
         0000203f 11000000 80a90300 \
         07 4d000000 04 52b81e3f0000404085ebd13e0000f042 09 0500 06 192b6f0e",
    )
}

#[test]
fn decodes_every_field_of_a_request() {
    let batch = decode(&sample_batch()).unwrap();
    assert_eq!(batch.now, Duration::from_micros(0x0080_5c5a));
    assert_eq!(batch.records[0], Record::SelectBackend(3));
    let Record::Event(Event::Arrived(arrival)) = &batch.records[1] else {
        panic!("the second record is not an arrival: {:?}", batch.records[1]);
    };
    assert_eq!(arrival.id, RequestId(0x5d3a_91c4));
    assert_eq!(arrival.retry_of, Some(RequestId(0x0e6f_2b19)));
    assert_eq!(arrival.cost_hint, Some(Duration::from_micros(12_000)));
    assert_eq!(arrival.memory_kb, 24.5);
    assert_eq!(arrival.age, Duration::from_micros(1850));
    assert_eq!(arrival.rank, 0.625);
    assert_eq!(arrival.caller, CallerId(17));
    assert_eq!(arrival.remaining_time, Some(Duration::from_micros(240_000)));
    assert_eq!(batch.records[4], Record::Event(Event::Cancelled(RequestId(0x0e6f_2b19))));
}

#[test]
fn truncated_or_extended_frames_are_rejected() {
    let whole = sample_batch();
    for len in 0..whole.len() {
        assert!(decode(&whole[..len]).is_err(), "truncated at {len}");
    }
    let mut long = whole;
    long.push(0);
    assert!(decode(&long).is_err());
}

#[test]
fn input_may_end_only_on_a_frame_boundary() {
    let mut frame = 12u32.to_le_bytes().to_vec();
    frame.extend([0; 12]);
    for len in 1..frame.len() {
        assert!(read_frame(&mut &frame[..len]).is_err(), "truncated at {len}");
    }
    assert_eq!(read_frame(&mut &frame[..]).unwrap(), Some(vec![0; 12]));
    assert_eq!(read_frame(&mut &[][..]).unwrap(), None);
    assert!(read_frame(&mut &u32::MAX.to_le_bytes()[..]).is_err());
}

#[test]
fn unknown_record_and_outcome_codes_are_rejected() {
    assert!(decode(&bytes_from_hex("01000000 0000000000000000 2a")).is_err());
    assert!(decode(&bytes_from_hex("01000000 0000000000000000 02 01000000 0900 00000000")).is_err());
}

#[test]
fn encodes_actions_as_the_protocol_specifies() {
    let mut reply = Reply::default();
    reply.extend(3, &[Action::Run(RequestId(0x5d3a_91c4))]);
    reply.extend(4, &[]);
    reply.extend(
        5,
        &[
            Action::SetTimer(TimerId(77), Duration::from_micros(500_000)),
            Action::Advertise(0.25),
            Action::Reject {
                id: RequestId(0x0e6f_2b19),
                retry_after: Some(Duration::from_micros(250_000)),
                give_up: true,
            },
        ],
    );
    let expected = bytes_from_hex(
        "06000000 23000000 46 0300 41 c4913a5d 46 0500 4b 20a10700 4d000000 \
                        49 0000803e 48 192b6f0e 90d00300 01",
    );
    assert_eq!(reply.frame(), expected);
}
