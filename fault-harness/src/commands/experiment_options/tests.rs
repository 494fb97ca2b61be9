use super::*;

#[test]
fn a_label_becomes_a_file_name_of_letters_digits_and_some_punctuation() {
    assert_eq!(file_name("load.load=0.5"), "load.load=0.5");
    assert_eq!(file_name("program=/tmp/old build"), "program=_tmp_old_build");
}
