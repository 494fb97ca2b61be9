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
    assert!(read(&text[cut..], &mut Chain::before(3)).breaks.is_empty(), "older files may have been deleted");
}

/// Changes every byte of a small file to every other ASCII value, removes it and doubles it.
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
            assert!(!breaks(&edited).is_empty(), "byte {at} changed to {byte}");
        }
        let mut removed = text.clone();
        removed.remove(at);
        assert!(!breaks(&removed).is_empty(), "byte {at} removed");
        let mut doubled = text.clone();
        doubled.insert(at, text.as_bytes()[at] as char);
        assert!(!breaks(&doubled).is_empty(), "byte {at} doubled");
    }
}

#[test]
fn a_truncated_file_is_detected_unless_it_ends_after_a_whole_record() {
    let text = chained(&RECORDS);
    for at in 1..text.len() {
        let found = breaks(&text[..at]);
        let ends_at_record = text.as_bytes()[at - 1] == b'\n';
        assert_eq!(found.is_empty(), ends_at_record, "{at}: {found:?}");
        assert!(ends_at_record || found[0].error == ChainError::Incomplete);
        // If another file follows, reading it detects the truncation too.
        let mut chain = Chain::default();
        read(&text[..at], &mut chain);
        let mut next =
            Chain::after(4, chained(&RECORDS).lines().last().unwrap().split(' ').nth(1).unwrap()).unwrap();
        let mut next_file = String::new();
        next.append("{}", &mut next_file);
        assert!(!read(&next_file, &mut chain).breaks.is_empty(), "{at}");
    }
}

#[test]
fn records_that_were_reordered_removed_or_copied_from_another_chain_are_detected() {
    let lines: Vec<String> = chained(&RECORDS).split_inclusive('\n').map(String::from).collect();
    let in_order = |order: &[usize]| order.iter().map(|i| lines[*i].as_str()).collect::<String>();
    assert!(breaks(&in_order(&[0, 1, 2, 3])).is_empty());
    for order in [&[1, 0, 2, 3][..], &[0, 2, 3], &[0, 1, 1, 2, 3], &[0, 1, 3, 2], &[1, 2, 3]] {
        assert!(!breaks(&in_order(order)).is_empty(), "{order:?}");
    }
    let other = chained(&["{\"a\":2}", "{\"b\":2}", "{}", "{}"]);
    let foreign = format!("{}{}{}", lines[0], other.split_inclusive('\n').nth(1).unwrap(), lines[2]);
    assert_eq!(breaks(&foreign)[0], ChainBreak { line: 2, error: ChainError::Modified });
}
