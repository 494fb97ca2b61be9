use super::*;

#[test]
fn a_marker_tells_the_next_process_how_far_the_last_one_reached() {
    let folder = std::env::temp_dir().join(format!("oakwind-marker-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let mark = |seconds| StatePosition { incarnation: 1_764_000_000_000_000, seconds };
    let mut marker = Marker::new(&folder, false);
    marker.reaches(mark(1));
    assert_eq!(marker.read(), None, "nothing in it can be relied on yet");
    marker.holds(mark(2));
    marker.reaches(mark(3));
    assert_eq!(Marker::new(&folder, true).read(), Some(mark(3)));
    marker.rest();
    marker.reaches(mark(4));
    assert_eq!(marker.read(), Some(mark(3)), "another process has it");
    for nonsense in ["", "7", "a b", "7 -1", "7 1 1"] {
        fs::write(folder.join(MARKER), nonsense).unwrap();
        assert_eq!(marker.read(), None, "{nonsense:?}");
    }
    marker.void();
    assert!(!folder.join(MARKER).exists());
    fs::remove_dir_all(&folder).unwrap();
}
