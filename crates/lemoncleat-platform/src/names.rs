//! Mapping of names to numbers.

use std::collections::BTreeMap;

/// A table of names, numbered in the order of their first appearance.
#[derive(Clone, Debug, Default)]
pub struct Names {
    numbers: BTreeMap<String, u32>,
    names: Vec<String>,
}

impl Names {
    /// Returns the number of a name, and assigns a new one to an unknown name.
    pub fn number(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len() as u32;
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// Returns the name that has this number.
    pub fn name(&self, number: u64) -> Option<&str> {
        self.names.get(usize::try_from(number).ok()?).map(String::as_str)
    }
}

impl<T: AsRef<str>> FromIterator<T> for Names {
    fn from_iter<I: IntoIterator<Item = T>>(iter: I) -> Self {
        let mut names = Names::default();
        for name in iter {
            names.number(name.as_ref());
        }
        names
    }
}
