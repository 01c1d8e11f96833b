//! Support for storing a [`Controller`](crate::Controller), or sending it, and resuming it elsewhere.
//!
//! A controller is serialized completely, its settings first. A deserialized controller makes exactly the
//! same decisions as the original: floats keep their bits, and cached values are included.

use std::cell::OnceCell;
use std::ops::{Deref, DerefMut};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The source files of this crate, by file name, as compiled into this build. Two builds whose sources differ
/// may make different decisions.
pub const SOURCES: &[(&str, &str)] = &[
    ("decide.rs", include_str!("decide.rs")),
    ("departed.rs", include_str!("departed.rs")),
    ("interface.rs", include_str!("interface.rs")),
    ("lib.rs", include_str!("lib.rs")),
    ("random.rs", include_str!("random.rs")),
    ("state.rs", include_str!("state.rs")),
];

/// A cell that is filled at its first use, and serialized with its current content.
#[derive(Clone)]
pub(crate) struct Cache<T>(OnceCell<T>);

impl<T> Cache<T> {
    pub(crate) fn new() -> Self {
        Cache(OnceCell::new())
    }
}

impl<T> Deref for Cache<T> {
    type Target = OnceCell<T>;

    fn deref(&self) -> &OnceCell<T> {
        &self.0
    }
}

impl<T> DerefMut for Cache<T> {
    fn deref_mut(&mut self) -> &mut OnceCell<T> {
        &mut self.0
    }
}

impl<T: Serialize> Serialize for Cache<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.get().serialize(serializer)
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Cache<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let filled = Option::<T>::deserialize(deserializer)?;
        Ok(Cache(filled.map_or_else(OnceCell::new, OnceCell::from)))
    }
}

#[cfg(test)]
mod tests {
    /// A source file missing from the list could change decisions without a change of version.
    #[test]
    fn every_source_is_listed() {
        let directory = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
        let mut names: Vec<String> = std::fs::read_dir(directory)
            .expect("sources")
            .map(|entry| entry.expect("entry").file_name().into_string().expect("name"))
            .collect();
        names.sort();
        assert_eq!(names, super::SOURCES.iter().map(|(name, _)| (*name).to_owned()).collect::<Vec<_>>());
    }
}
