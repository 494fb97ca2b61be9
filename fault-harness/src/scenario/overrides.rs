//! Overrides of single keys of a scenario, as `--set` and sweeps use them.

use toml::{Table, Value};

use super::former_keys;
use super::ScenarioError;

/// Sets a dotted key of a table; numbers in the key are positions in lists.
///
/// Each part of the key may have its present or its former name, whichever of the two the file has: the
/// override replaces the value in the file.
pub(super) fn set(table: &mut Table, key: &str, value: &str) -> Result<(), ScenarioError> {
    let (path, last) = key.rsplit_once('.').map_or((None, key), |(path, last)| (Some(path), last));
    let mut root = Value::Table(std::mem::take(table));
    let mut place = &mut root;
    let mut parent = None;
    for word in path.into_iter().flat_map(|path| path.split('.')) {
        place = descend(place, parent, word, key)?;
        parent = Some(word);
    }
    let Value::Table(inner) = place else {
        return Err(ScenarioError::NotATable { key: key.into(), within: parent.unwrap_or(key).into() });
    };
    inner.insert(former_keys::as_written(parent, last, inner), parse(value));
    if let Value::Table(whole) = root {
        *table = whole;
    }
    Ok(())
}

/// Returns the value within `place` that one part of a key names. A missing table is added.
fn descend<'a>(
    place: &'a mut Value,
    parent: Option<&str>,
    word: &str,
    key: &str,
) -> Result<&'a mut Value, ScenarioError> {
    match place {
        Value::Table(inner) => {
            let word = former_keys::as_written(parent, word, inner);
            Ok(inner.entry(word).or_insert_with(|| Value::Table(Table::new())))
        }
        Value::Array(list) => {
            let position = word.parse::<usize>().ok();
            let item = position.and_then(|position| list.get_mut(position));
            item.ok_or_else(|| ScenarioError::NoSuchPosition { key: key.into() })
        }
        _ => Err(ScenarioError::NotATable { key: key.into(), within: parent.unwrap_or(key).into() }),
    }
}

/// Parses a TOML value; a text that is not valid TOML becomes a string.
fn parse(text: &str) -> Value {
    let parsed = format!("value = {text}").parse::<Table>().ok();
    let value = parsed.and_then(|mut table| table.remove("value"));
    value.unwrap_or_else(|| Value::String(text.into()))
}
