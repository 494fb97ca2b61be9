use super::*;

fn chained(records: &[&str]) -> String {
    let (mut chain, mut text) = (Chain::default(), String::new());
    records.iter().for_each(|record| chain.append(record, &mut text));
    text
}

const RECORDS: [&str; 4] = ["{\"a\":1}", "{\"b\":\"x y\"}", "{}", "{\"c\":[1,2]}"];

fn breaks(text: &str) -> Vec<ChainBreak> {
    read(text, &mut Chain::default()).breaks
}

#[test]
fn records_are_read_as_they_were_appended_over_several_files() {
    let text = chained(&RECORDS);
    let whole = read(&text, &mut Chain::default());
    assert_eq!(whole.records.iter().map(|(_, record)| *record).collect::<Vec<_>>(), RECORDS);
    assert!(whole.breaks.is_empty());
    let cut = text.match_indices('\n').nth(1).unwrap().0 + 1;
    let mut chain = Chain::default();
    let (one, two) = (read(&text[..cut], &mut chain), read(&text[cut..], &mut chain));
    assert!(one.breaks.is_empty() && two.breaks.is_empty());
    assert_eq!(chain.number(), 4);
    assert!(read(&text[cut..], &mut Chain::before(3)).breaks.is_empty(), "old files may be gone");
}

/// Every byte of a small file is changed to every other value, removed, or doubled.
#[test]
fn an_edit_of_any_byte_is_detected() {
    let text = chained(&RECORDS);
    for at in 0..text.len() {
        for byte in 1..128_u8 {
            let mut edited = text.clone().into_bytes();
            if edited[at] == byte {
                continue;
            }
            edited[at] = byte;
            let edited = String::from_utf8(edited).unwrap();
            assert!(!breaks(&edited).is_empty(), "byte {at} as {byte}");
        }
        let mut taken = text.clone();
        taken.remove(at);
        assert!(!breaks(&taken).is_empty(), "byte {at} taken out");
        let mut doubled = text.clone();
        doubled.insert(at, text.as_bytes()[at] as char);
        assert!(!breaks(&doubled).is_empty(), "byte {at} doubled");
    }
}

#[test]
fn a_cut_is_detected_at_every_byte_but_between_records_at_the_end_of_the_file() {
    let text = chained(&RECORDS);
    for at in 1..text.len() {
        let found = breaks(&text[..at]);
        let between = text.as_bytes()[at - 1] == b'\n';
        assert_eq!(found.is_empty(), between, "{at}: {found:?}");
        assert!(between || found[0].error == ChainError::Incomplete);
        // If another file follows, the cut is detected there too.
        let mut chain = Chain::default();
        read(&text[..at], &mut chain);
        let mut next =
            Chain::after(4, chained(&RECORDS).lines().last().unwrap().split(' ').nth(1).unwrap()).unwrap();
        let mut more = String::new();
        next.append("{}", &mut more);
        assert!(!read(&more, &mut chain).breaks.is_empty(), "{at}");
    }
}

#[test]
fn records_that_were_moved_left_out_or_taken_from_another_chain_are_detected() {
    let lines: Vec<String> = chained(&RECORDS).split_inclusive('\n').map(String::from).collect();
    let of = |order: &[usize]| order.iter().map(|i| lines[*i].as_str()).collect::<String>();
    assert!(breaks(&of(&[0, 1, 2, 3])).is_empty());
    for order in [&[1, 0, 2, 3][..], &[0, 2, 3], &[0, 1, 1, 2, 3], &[0, 1, 3, 2], &[1, 2, 3]] {
        assert!(!breaks(&of(order)).is_empty(), "{order:?}");
    }
    let other = chained(&["{\"a\":2}", "{\"b\":2}", "{}", "{}"]);
    let foreign = format!("{}{}{}", lines[0], other.split_inclusive('\n').nth(1).unwrap(), lines[2]);
    assert_eq!(breaks(&foreign)[0], ChainBreak { line: 2, error: ChainError::Modified });
}
