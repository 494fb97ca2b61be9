use super::*;

#[test]
fn requests_on_their_way_still_find_a_class_that_has_gone_and_later_ones_do_not() {
    let parsed = |name: &str| {
        let text = format!(
            r#"{{"services": [{{"name": "{name}", "slo": 1, "deadline": 2, "effect": "by_key"}}],
            "specifics": {{"cores": 2, "memoryKb": 64.5}}, "safety": {{"drainGrace": 8, "fallMultiple": 3}}}}"#
        );
        oakwind_settings::parse(&text).unwrap()
    };
    let names = ClassRegistry::new(parsed("book"));
    let at = Duration::from_secs(100);
    names.replace_settings(names.settings().followed_by(parsed("reserve")).unwrap(), at);
    assert_eq!((names.class_index("book", at), names.class_index("reserve", at)), (Some(0), Some(1)));
    let later = at + CROSSING;
    assert_eq!((names.class_index("book", later), names.class_index("reserve", later)), (None, Some(1)));
    assert_eq!((names.class_name(0), names.is_keyed(0)), ("book".into(), true), "open requests keep it");
}
