//! Deserializes trees into serde types.

use serde::de::value::StrDeserializer;
use serde::de::{self, DeserializeOwned, DeserializeSeed, IntoDeserializer, MapAccess, SeqAccess, Visitor};
use serde::forward_to_deserialize_any;

use crate::tree::{read, Kind, Tree};
use crate::Error;

/// Deserializes the text of a file.
///
/// # Errors
///
/// The first error, with its position.
pub fn from_str<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let trees = read(text)?;
    T::deserialize(Values { trees: &trees, place: (1, 1) })
}

impl de::Error for Error {
    fn custom<T: std::fmt::Display>(message: T) -> Self {
        Error { place: None, path: String::new(), message: message.to_string() }
    }
}

impl Error {
    fn at(mut self, place: (usize, usize)) -> Self {
        self.place.get_or_insert(place);
        self
    }

    fn within(mut self, outer: &str) -> Self {
        if !self.path.is_empty() && !self.path.starts_with('[') {
            self.path.insert(0, '.');
        }
        self.path.insert_str(0, outer);
        self
    }
}

fn error_at(place: (usize, usize), message: impl Into<String>) -> Error {
    Error { place: Some(place), path: String::new(), message: message.into() }
}

/// The values after a field's name: any number of trees.
#[derive(Clone, Copy)]
struct Values<'a> {
    trees: &'a [Tree],
    place: (usize, usize),
}

impl<'a> Values<'a> {
    fn single(&self) -> Result<&'a Tree, Error> {
        match self.trees {
            [single] => Ok(single),
            [] => Err(error_at(self.place, "no value, expected one")),
            [_, second, ..] => Err(error_at(second.place, "more than one value, expected one")),
        }
    }

    fn atom(&self) -> Result<(&'a str, bool, (usize, usize)), Error> {
        let single = self.single()?;
        match &single.kind {
            Kind::Atom { text, quoted } => Ok((text, *quoted, single.place)),
            Kind::List(_) => Err(error_at(single.place, "a list, expected a single value")),
        }
    }
}

macro_rules! numbers {
    ($($method:ident $type:ty, $visit:ident, $expected:literal;)*) => {
        $(fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
            let (text, _, place) = self.atom()?;
            match text.parse::<$type>() {
                Ok(value) => visitor.$visit(value).map_err(|error: Error| error.at(place)),
                Err(_) => Err(error_at(place, format!("{text:?}, expected {}", $expected))),
            }
        })*
    };
}

impl<'de> de::Deserializer<'de> for Values<'_> {
    type Error = Error;

    numbers! {
        deserialize_u8 u8, visit_u8, "a whole number from 0 to 255";
        deserialize_u16 u16, visit_u16, "a whole number from 0 to 65535";
        deserialize_u32 u32, visit_u32, "a whole number, not below zero";
        deserialize_u64 u64, visit_u64, "a whole number, not below zero";
        deserialize_i8 i8, visit_i8, "a small whole number";
        deserialize_i16 i16, visit_i16, "a small whole number";
        deserialize_i32 i32, visit_i32, "a whole number";
        deserialize_i64 i64, visit_i64, "a whole number";
        deserialize_f32 f32, visit_f32, "a number";
        deserialize_f64 f64, visit_f64, "a number";
    }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let (text, _, place) = self.atom()?;
        match text {
            "#t" | "true" | "yes" => visitor.visit_bool(true),
            "#f" | "false" | "no" => visitor.visit_bool(false),
            _ => Err(error_at(place, format!("{text:?}, expected yes or no"))),
        }
    }

    fn deserialize_str<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let (text, _, place) = self.atom()?;
        visitor.visit_str(text).map_err(|error: Error| error.at(place))
    }

    fn deserialize_string<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        self.deserialize_str(visitor)
    }

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let (text, quoted, place) = self.atom()?;
        let visited = match text.parse::<f64>() {
            Ok(number) if !quoted => visitor.visit_f64(number),
            _ => visitor.visit_str(text),
        };
        visited.map_err(|error: Error| error.at(place))
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_some(self)
    }

    fn deserialize_unit<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        match self.trees.first() {
            None => visitor.visit_unit(),
            Some(tree) => Err(error_at(tree.place, "a value, expected none")),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_seq(Items { rest: self.trees, index: 0 })
    }

    fn deserialize_tuple<V: Visitor<'de>>(self, len: usize, visitor: V) -> Result<V::Value, Error> {
        if self.trees.len() != len {
            return Err(error_at(self.place, format!("{} values, expected {len}", self.trees.len())));
        }
        self.deserialize_seq(visitor)
    }

    fn deserialize_map<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let place = self.place;
        let forms = Forms { rest: self.trees, value: None, seen: Vec::new() };
        visitor.visit_map(forms).map_err(|error: Error| error.at(place))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        name: &'static str,
        _: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        // An element of a list is one tree, with or without the record name in front.
        let mut values = self;
        if let [Tree { kind: Kind::List(items), place }] = self.trees {
            match items.first().map(|first| &first.kind) {
                Some(Kind::List(_)) => values = Values { trees: items, place: *place },
                Some(Kind::Atom { text, .. }) if text.eq_ignore_ascii_case(name) => {
                    values = Values { trees: &items[1..], place: *place };
                }
                _ => {}
            }
        }
        values.deserialize_map(visitor)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _: &'static str,
        _: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        let (text, _, place) = self.atom()?;
        let variant: StrDeserializer<'_, Error> = text.into_deserializer();
        visitor.visit_enum(variant).map_err(|error: Error| error.at(place))
    }

    fn deserialize_ignored_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_unit()
    }

    forward_to_deserialize_any! {
        char bytes byte_buf unit_struct tuple_struct identifier
    }
}

/// The elements of a list.
struct Items<'a> {
    rest: &'a [Tree],
    index: usize,
}

impl<'de> SeqAccess<'de> for Items<'_> {
    type Error = Error;

    fn next_element_seed<T: DeserializeSeed<'de>>(&mut self, seed: T) -> Result<Option<T::Value>, Error> {
        let Some((first, rest)) = self.rest.split_first() else { return Ok(None) };
        let index = self.index;
        self.rest = rest;
        self.index += 1;
        let values = Values { trees: std::slice::from_ref(first), place: first.place };
        seed.deserialize(values)
            .map(Some)
            .map_err(|error| error.at(first.place).within(&format!("[{index}]")))
    }

    fn size_hint(&self) -> Option<usize> {
        Some(self.rest.len())
    }
}

/// The forms of a record.
struct Forms<'a> {
    rest: &'a [Tree],
    value: Option<Values<'a>>,
    /// The field names so far; the last one is the current field.
    seen: Vec<&'a str>,
}

impl<'de> MapAccess<'de> for Forms<'_> {
    type Error = Error;

    fn next_key_seed<K: DeserializeSeed<'de>>(&mut self, seed: K) -> Result<Option<K::Value>, Error> {
        let Some((first, rest)) = self.rest.split_first() else { return Ok(None) };
        self.rest = rest;
        let Kind::List(items) = &first.kind else {
            return Err(error_at(first.place, "a single value, expected a form (name value ...)"));
        };
        let Some((Tree { kind: Kind::Atom { text, .. }, place }, values)) = items.split_first() else {
            return Err(error_at(first.place, "expected a form that begins with a field's name"));
        };
        if self.seen.contains(&text.as_str()) {
            return Err(error_at(*place, format!("duplicate field `{text}`")));
        }
        self.seen.push(text);
        self.value = Some(Values { trees: values, place: first.place });
        let name: StrDeserializer<'_, Error> = text.as_str().into_deserializer();
        seed.deserialize(name).map(Some).map_err(|error| error.at(*place))
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<S::Value, Error> {
        let Some(values) = self.value.take() else {
            return Err(de::Error::custom("value without a field name"));
        };
        seed.deserialize(values)
            .map_err(|error| error.at(values.place).within(self.seen.last().copied().unwrap_or_default()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Rate, Size, Span};
    use serde::Deserialize;

    #[derive(Debug, Deserialize, PartialEq)]
    #[serde(deny_unknown_fields, rename_all = "kebab-case", rename = "pool")]
    struct Pool {
        place: i64,
        #[serde(default)]
        lines: Option<u32>,
        #[serde(default)]
        spare: bool,
    }

    #[derive(Debug, Deserialize, PartialEq)]
    #[serde(rename_all = "kebab-case")]
    enum Mode {
        Fast,
        VerySlow,
    }

    #[derive(Debug, Deserialize, PartialEq)]
    #[serde(deny_unknown_fields, rename_all = "kebab-case")]
    struct File {
        host: String,
        listen: std::net::SocketAddr,
        release: Span,
        #[serde(default)]
        names: Vec<String>,
        #[serde(default)]
        pools: Vec<Pool>,
        #[serde(default)]
        mode: Option<Mode>,
        #[serde(default)]
        limit: Option<Size>,
        #[serde(default)]
        load: Option<Rate>,
        #[serde(default)]
        share: Option<f64>,
        #[serde(default)]
        main: Option<Pool>,
    }

    const VALID_FILE: &str = r#"
; a comment
(host node-1.example)
(listen 127.0.0.1:3868)
(release 300ms)
(names a "b c" 7)
(pools
  (pool (place 0) (lines 30))
  ((place 1) (spare yes)))
(mode very-slow) (limit 64KiB) (load 810/s) (share 0.25)
(main (place -3))
"#;

    #[test]
    fn file_is_deserialized_into_its_type() {
        let file: File = from_str(VALID_FILE).expect("a good file");
        assert_eq!(file.host, "node-1.example");
        assert_eq!(file.listen, "127.0.0.1:3868".parse().expect("an address"));
        assert_eq!(
            (file.release, file.limit, file.load),
            (Span(300_000), Some(Size(65_536)), Some(Rate(810.0)))
        );
        assert_eq!(file.names, ["a", "b c", "7"]);
        assert_eq!(file.pools[0], Pool { place: 0, lines: Some(30), spare: false });
        assert_eq!(file.pools[1], Pool { place: 1, lines: None, spare: true });
        assert_eq!((file.mode, file.share), (Some(Mode::VerySlow), Some(0.25)));
        assert_eq!(file.main.map(|pool| pool.place), Some(-3));
    }

    fn error_text(text: &str) -> String {
        from_str::<File>(text).expect_err("a mistake").in_file("f")
    }

    #[test]
    fn errors_have_position_field_and_expectation() {
        let line = |n: usize| VALID_FILE.lines().nth(n - 1).expect("a line");
        let with = |n: usize, new: &str| VALID_FILE.replacen(line(n), new, 1);
        let cases = [
            (with(5, "(release soon)"), "f:5:10: release: \"soon\", expected a span such as 300ms or 2s"),
            (
                with(8, "  (pool (place 0) (lines many))"),
                "f:8:26: pools[0].lines: \"many\", expected a whole number",
            ),
            (
                with(8, "  (pool (place 0) (colour red))"),
                "f:8:20: pools[0]: unknown field `colour`, expected one of",
            ),
            (with(8, "  (pool (lines 3))"), "f:8:3: pools[0]: missing field `place`"),
            (with(3, "(host a b)"), "f:3:9: host: more than one value"),
            (with(3, "(host)"), "f:3:1: host: no value"),
            (with(3, "host"), "f:3:1: a single value, expected a form"),
            (with(3, "(host . x)"), "f:3:1: a dotted pair"),
            (with(4, "(listen here)"), "f:4:9: listen: invalid socket address"),
            (with(10, "(mode slow)"), "f:10:7: mode: unknown variant `slow`, expected"),
            (with(3, "(host a) (host b)"), "f:3:11: duplicate field `host`"),
            (with(3, ""), "missing field `host`"),
            (with(3, "(host"), "EOF while parsing a list"),
        ];
        for (text, expected) in cases {
            let told = error_text(&text);
            assert!(told.contains(expected), "told {told:?}, expected {expected:?}");
        }
    }
}
