use super::*;

#[test]
fn who_is_silent_lapses_and_lists_are_seen_late() {
    let mut members = Members::new(2, 3000.0);
    members.report(0.0, 0, true);
    members.report(1000.0, 1, true);
    members.report(2500.0, 1, true);
    assert_eq!(members.listed_at(4000.0, 4000.0), [false, true]);
    assert_eq!(members.listed_at(4000.0, 2900.0), [true, true], "seen late");
    members.report(4100.0, 1, false);
    assert_eq!(members.listed_at(4100.0, 4100.0), [false, false]);
}

#[test]
fn while_it_hears_nobody_no_entry_lapses() {
    let mut members = Members::new(1, 3000.0);
    members.report(0.0, 0, true);
    members.deaf(1000.0, true);
    members.report(2000.0, 0, false);
    assert_eq!(members.listed_at(9000.0, 9000.0), [true]);
    members.deaf(9000.0, false);
    assert_eq!(members.listed_at(11_000.0, 11_000.0), [true]);
    assert_eq!(members.listed_at(12_500.0, 12_500.0), [false]);
}
