use super::*;

fn read(text: &str) -> Result<History, HistoryError> {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("oakwind-history-{}-{number}.jsonl", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let history = History::read(&path);
    std::fs::remove_file(&path).unwrap();
    history
}

const PARAMETERS: &str = r#"{"scenario":"x","seed":1,"seconds":1.0,"nodes":1,"classes":[],"run_once_per":"node","slack":1.0,"drain_grace":1.0,"descriptors":1,"memory_kb":1,"max_dual_active":1.0}"#;

#[test]
fn an_invalid_line_is_reported_with_its_line_number() {
    let text =
        format!("{PARAMETERS}\n{{\"at_ms\":1.0,\"event\":\"node_up\",\"node\":0,\"cold\":true}}\n{{}}\n");
    assert!(read(&text).unwrap_err().to_string().starts_with("line 3: "));
    assert!(read("{}\n").unwrap_err().to_string().starts_with("line 1: "));
    assert!(matches!(read(""), Err(HistoryError::Empty)));
}

#[test]
fn a_history_in_the_current_format_round_trips() {
    let text = format!("{PARAMETERS}\n{{\"at_ms\":1.5,\"event\":\"paused\",\"node\":0,\"paused\":true}}\n");
    let history = read(&text).unwrap();
    let paused = Observation { at: 1.5, event: Event::Paused { node: 0, paused: true } };
    assert_eq!(history.observations, [paused]);
    assert_eq!(serde_json::to_string(&history.observations[0]).unwrap(), text.lines().nth(1).unwrap());
    assert_eq!(serde_json::to_string(&history.parameters).unwrap(), PARAMETERS);
}
