//! Positions of named items across reloads: an item keeps its position for the life of the process, because open
//! requests refer to it.

use crate::SettingsError;

/// Names of one kind that may get a position in one process, so that settings which bring new names at each reload do
/// not use up its memory.
pub(crate) const MAX_NAMES: usize = 1000;

/// Named values in the order of their positions.
pub(crate) struct Positions<T> {
    /// The names.
    pub(crate) names: Vec<String>,
    /// The value of each name.
    pub(crate) values: Vec<T>,
    /// Positions whose names the newest settings left out.
    pub(crate) retired: Vec<usize>,
}

impl<T: Clone> Positions<T> {
    /// Merges new settings, listed under `key`, into the positions in force: known names keep their positions, names
    /// that are left out are retired, and new names come after them.
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

    /// Replaces the value of a known name or adds a new one.
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
