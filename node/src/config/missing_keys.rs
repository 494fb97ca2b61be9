//! Finds the keys of a JSON document that a later version of it lacks.

use serde_json::value::Value;

/// The keys of `before` that `after` lacks, as dotted paths. In a member of a list, a key counts as missing
/// if every member of the list had it before.
pub(super) fn missing_keys(before: &Value, after: &Value) -> Vec<String> {
    match (before, after) {
        (Value::Object(before), Value::Object(after)) => {
            let missing = before.iter().flat_map(|(key, old)| match after.get(key) {
                Some(new) => with_prefix(key, missing_keys(old, new)),
                None => vec![key.clone()],
            });
            missing.collect()
        }
        (Value::Array(before), Value::Array(after)) => {
            let members = after.iter().enumerate();
            members.flat_map(|(i, new)| with_prefix(&i.to_string(), missing_in_every(before, new))).collect()
        }
        (Value::Object(_) | Value::Array(_), _) => vec![String::new()],
        _ => Vec::new(),
    }
}

/// The keys that every old member of a list had and the new member lacks.
fn missing_in_every(before: &[Value], new: &Value) -> Vec<String> {
    let in_each = before.iter().map(|old| missing_keys(old, new));
    let common = in_each.reduce(|common, one| common.into_iter().filter(|key| one.contains(key)).collect());
    common.unwrap_or_default()
}

/// Prefixes paths with a key; an empty path becomes the key itself.
fn with_prefix(key: &str, paths: Vec<String>) -> Vec<String> {
    let join = |path: String| if path.is_empty() { key.to_string() } else { format!("{key}.{path}") };
    paths.into_iter().map(join).collect()
}
