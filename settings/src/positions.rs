//! Positions of named classes and tenants across reloads. An item keeps its position for the life of the process,
//! because open requests refer to the item by position.

use crate::SettingsError;

/// Maximum number of names of one kind over the life of a process. Positions are never reused, so without a maximum
/// settings that bring new names at each reload would exhaust the memory.
pub(crate) const MAX_NAMES: usize = 1000;

/// Named values, indexed by position.
pub(crate) struct Positions<T> {
    /// The name at each position.
    pub(crate) names: Vec<String>,
    /// The value at each position.
    pub(crate) values: Vec<T>,
    /// Positions whose names are absent from the newest settings.
    pub(crate) retired: Vec<usize>,
}

impl<T: Clone> Positions<T> {
    /// Merges the items that new settings list under `key` into the current positions: known names keep their
    /// positions, absent names are retired, and new names are appended.
    pub(crate) fn merge(
        key: &'static str,
        names: &[String],
        values: &[T],
        new_names: Vec<String>,
        new_values: Vec<T>,
    ) -> Result<Self, SettingsError> {
        let mut merged =
            Positions { names: names.to_vec(), values: values.to_vec(), retired: (0..names.len()).collect() };
        for (name, value) in new_names.into_iter().zip(new_values) {
            merged.set(name, value);
        }
        if merged.names.len() > MAX_NAMES {
            return Err(SettingsError::TooManyNames { key });
        }
        Ok(merged)
    }

    /// Replaces the value of a known name, or appends a new name.
    fn set(&mut self, name: String, value: T) {
        if let Some(position) = self.names.iter().position(|known| *known == name) {
            self.values[position] = value;
            self.retired.retain(|retired| *retired != position);
        } else {
            self.names.push(name);
            self.values.push(value);
        }
    }
}
