use super::*;
use crate::predict::predict;
use crate::scenario::Scenario;

#[test]
fn a_page_has_the_charts_and_the_faults_and_escapes_names() {
    let text = "name = 'a <b> fleet'\nseconds = 5\n[fleet]\nnodes = 2\n[[class]]\nname = 'quote'\nshare = 1\nwork_ms = 20\nlatency_objective_ms = 100\ndeadline_ms = 300\n[load]\nload = 0.5\n[[fault]]\nat_s = 2\nwhat = 'slow'\nnodes = ['n1']\nduration_s = 1.0\n";
    let history = predict(&Scenario::parse(text, &[]).unwrap(), None);
    let outcome = Outcome::from_history("calm", &history, None);
    let path = std::env::temp_dir().join(format!("oakwind-fault-harness-page-{}.html", std::process::id()));
    write_page(&[outcome], &path).unwrap();
    let html = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert!(html.contains("a &lt;b&gt; fleet") && !html.contains("<b>"));
    assert_eq!(html.matches("<svg").count(), 3);
    assert!(html.contains("slow 1"));
}

#[test]
fn all_lines_of_a_table_have_the_same_width() {
    let text = format_table(&["a".into(), "long".into()], &[vec!["wide cell".into(), "1".into()]]);
    let widths: Vec<usize> = text.lines().map(|line| line.chars().count()).collect();
    assert!(widths.iter().all(|width| *width == widths[0]), "{text}");
}
