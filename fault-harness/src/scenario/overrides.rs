//! Changes single keys of a scenario from outside, as `--set` and sweeps do.

use super::former_keys;

/// Sets a dotted key of a table; numbers in it are positions in lists.
///
/// A key may be given in its present or its former form, whichever the file has: the override replaces the file's value.
pub(super) fn set(table: &mut toml::Table, key: &str, value: &str) -> Result<(), String> {
    let value: toml::Value = format!("v = {value}")
        .parse::<toml::Table>()
        .ok()
        .and_then(|mut table| table.remove("v"))
        .unwrap_or_else(|| toml::Value::String(value.into()));
    let (path, last) = key.rsplit_once('.').map_or((None, key), |(path, last)| (Some(path), last));
    let mut at = toml::Value::Table(std::mem::take(table));
    let mut place = &mut at;
    let mut parent = None;
    for word in path.into_iter().flat_map(|path| path.split('.')) {
        place = match place {
            toml::Value::Table(inner) => {
                let word = former_keys::as_written(parent, word, inner);
                inner.entry(word).or_insert_with(|| toml::Value::Table(toml::Table::new()))
            }
            toml::Value::Array(list) => {
                let position = word.parse::<usize>().ok();
                position.and_then(|i| list.get_mut(i)).ok_or_else(|| format!("{key}: no such position"))?
            }
            _ => return Err(format!("{key}: {word} is within no table")),
        };
        parent = Some(word);
    }
    match place {
        toml::Value::Table(inner) => {
            let last = former_keys::as_written(parent, last, inner);
            inner.insert(last, value);
        }
        _ => return Err(format!("{key}: is within no table")),
    }
    if let toml::Value::Table(whole) = at {
        *table = whole;
    }
    Ok(())
}
