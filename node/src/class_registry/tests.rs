use super::*;

#[test]
fn requests_of_a_removed_class_are_accepted_for_a_moment_and_not_after_that() {
    let parsed = |name: &str| {
        let text = format!(
            r#"{{"services": [{{"name": "{name}", "slo": 1, "deadline": 2, "effect": "by_key"}}],
            "specifics": {{"cores": 2, "memoryKb": 64.5}}, "safety": {{"drainGrace": 8, "fallMultiple": 3}}}}"#
        );
        oakwind_settings::parse(&text).unwrap()
    };
    let registry = ClassRegistry::new(parsed("book"));
    let at = Duration::from_secs(100);
    registry.replace_settings(registry.settings().followed_by(parsed("reserve")).unwrap(), at);
    assert_eq!((registry.class_index("book", at), registry.class_index("reserve", at)), (Some(0), Some(1)));
    let later = at + REMOVED_CLASS_GRACE;
    assert_eq!(
        (registry.class_index("book", later), registry.class_index("reserve", later)),
        (None, Some(1))
    );
    assert_eq!(
        (registry.class_name(0), registry.is_keyed(0)),
        ("book".into(), true),
        "open requests keep it"
    );
}
