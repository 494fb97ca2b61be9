use super::*;

/// Creates a folder that only the test of this name uses.
fn test_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("oakwind-marker-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn the_marker_gives_the_next_process_the_last_position_unless_incomplete_or_malformed() {
    let folder = test_folder("position");
    let position =
        |uptime_seconds| StatePosition { incarnation: Incarnation(1_764_000_000_000_000), uptime_seconds };
    let mut marker = CompletenessMarker::new(&folder, false);
    marker.advance(position(1));
    assert_eq!(marker.read(), None, "the folder is not complete yet");
    marker.set_complete(position(2));
    marker.advance(position(3));
    assert_eq!(CompletenessMarker::new(&folder, true).read(), Some(position(3)));
    marker.release();
    marker.advance(position(4));
    assert_eq!(marker.read(), Some(position(3)), "another process has the folder");
    for malformed in ["", "7", "a b", "7 -1", "7 1 1"] {
        fs::write(folder.join(MARKER_FILE), malformed).unwrap();
        assert_eq!(marker.read(), None, "{malformed:?}");
    }
    marker.invalidate();
    assert!(!folder.join(MARKER_FILE).exists());
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn the_marker_is_one_line_with_the_incarnation_and_its_uptime_in_seconds() {
    let folder = test_folder("text");
    let position = StatePosition { incarnation: Incarnation(1_796_189_499_690_723), uptime_seconds: 3 };
    CompletenessMarker::new(&folder, true).advance(position);
    assert_eq!(fs::read_to_string(folder.join("sound")).unwrap(), "1796189499690723 3\n");
    fs::remove_dir_all(&folder).unwrap();
}
