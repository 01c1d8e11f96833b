//! What makes a [`Controller`](crate::Controller) something that can be stored, sent and played on elsewhere.
//!
//! A controller is serialized whole, its settings first. One that is read back acts as the one that was
//! written, bit by bit: floats keep their bits, what was put together ahead comes along.

use std::cell::OnceCell;
use std::ops::{Deref, DerefMut};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The sources that decide, by file name, as this build has them. Two builds with other words here may decide
/// otherwise.
pub const SOURCES: &[(&str, &str)] = &[
    ("decide.rs", include_str!("decide.rs")),
    ("interface.rs", include_str!("interface.rs")),
    ("lib.rs", include_str!("lib.rs")),
    ("random.rs", include_str!("random.rs")),
    ("state.rs", include_str!("state.rs")),
];

/// A cell that is filled at its first use, and serialized as it stands.
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
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        self.0.get().serialize(to)
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Cache<T> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let filled = Option::<T>::deserialize(from)?;
        Ok(Cache(filled.map_or_else(OnceCell::new, OnceCell::from)))
    }
}

#[cfg(test)]
mod tests {
    /// A source that is not listed would change decisions under the same version.
    #[test]
    fn every_source_is_listed() {
        let here = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
        let mut names: Vec<String> = std::fs::read_dir(here)
            .expect("sources")
            .map(|entry| entry.expect("entry").file_name().into_string().expect("name"))
            .collect();
        names.sort();
        assert_eq!(names, super::SOURCES.iter().map(|(name, _)| (*name).to_owned()).collect::<Vec<_>>());
    }
}
