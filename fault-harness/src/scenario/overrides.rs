//! Changes single keys of a scenario from outside, as `--set` and sweeps do.

use toml::{Table, Value};

use super::former_keys;
use super::ScenarioError;

/// Sets a dotted key of a table; numbers in it are positions in lists.
///
/// A key may be given in its present or its former form, whichever the file has: the override replaces the file's value.
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

/// The value within this one that a word of a key names; a table that is missing is added.
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

/// A value in TOML, or the text itself where it is none.
fn parse(text: &str) -> Value {
    let parsed = format!("value = {text}").parse::<Table>().ok();
    let value = parsed.and_then(|mut table| table.remove("value"));
    value.unwrap_or_else(|| Value::String(text.into()))
}
