use super::*;

#[test]
fn requests_of_a_removed_class_are_accepted_only_during_the_grace_period() {
    let parsed = |name: &str| {
        let text = format!(
            r#"{{"services": [{{"name": "{name}", "slo": 1, "deadline": 2, "effect": "by_key"}}],
            "specifics": {{"cores": 2, "memoryKb": 64.5}}, "safety": {{"drainGrace": 8, "fallMultiple": 3}}}}"#
        );
        oakwind_settings::parse(&text).unwrap()
    };
    let registry = ClassRegistry::new(parsed("book"));
    let at = Duration::from_secs(100);
    registry.replace_settings(registry.settings().reloaded_with(parsed("reserve")).unwrap(), at);
    assert_eq!(
        (registry.class_id("book", at), registry.class_id("reserve", at)),
        (Some(ClassId(0)), Some(ClassId(1)))
    );
    let later = at + REMOVED_CLASS_GRACE;
    assert_eq!(
        (registry.class_id("book", later), registry.class_id("reserve", later)),
        (None, Some(ClassId(1)))
    );
    assert_eq!(
        (registry.class_name(ClassId(0)), registry.requires_key(ClassId(0))),
        ("book".into(), true),
        "open requests keep the removed class"
    );
}
