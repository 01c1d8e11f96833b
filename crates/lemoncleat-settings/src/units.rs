//! Quantities with units.

use std::fmt;

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer};

/// A span of time in microseconds, written as in `300ms`, `2s`, `5min`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub i64);

/// A rate per second, written as in `810/s`, `30/min`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

/// A size in bytes, written as in `512`, `64KiB`, `1MiB`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub usize);

/// Parses a number followed by one of the units and returns the value in the base unit.
fn parse_quantity(text: &str, units: &[(&str, f64)]) -> Option<f64> {
    let number = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(number);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    let value: f64 = number.parse().ok()?;
    (value * factor).is_finite().then_some(value * factor)
}

impl Span {
    /// Parses a time span.
    pub fn parse(text: &str) -> Option<Span> {
        const UNITS: &[(&str, f64)] = &[("us", 1.0), ("ms", 1e3), ("s", 1e6), ("min", 60e6), ("h", 3600e6)];
        parse_quantity(text, UNITS).filter(|us| *us < 9e15).map(|us| Span(us.round() as i64))
    }
}

impl Rate {
    /// Parses a rate.
    pub fn parse(text: &str) -> Option<Rate> {
        parse_quantity(text, &[("/s", 1.0), ("/min", 1.0 / 60.0), ("/h", 1.0 / 3600.0)]).map(Rate)
    }
}

impl Size {
    /// Parses a size.
    pub fn parse(text: &str) -> Option<Size> {
        const UNITS: &[(&str, f64)] =
            &[("", 1.0), ("KiB", 1024.0), ("MiB", 1048576.0), ("GiB", 1073741824.0)];
        parse_quantity(text, UNITS).filter(|bytes| *bytes < 1e15).map(|bytes| Size(bytes.round() as usize))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            us if us % 1_000_000 == 0 => write!(f, "{}s", us / 1_000_000),
            us if us % 1_000 == 0 => write!(f, "{}ms", us / 1_000),
            us => write!(f, "{us}us"),
        }
    }
}

macro_rules! impl_unit_parsing {
    ($type:ident, $expected:literal) => {
        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                struct Reader;
                impl Visitor<'_> for Reader {
                    type Value = $type;
                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str($expected)
                    }
                    fn visit_str<E: de::Error>(self, text: &str) -> Result<$type, E> {
                        let invalid = || E::custom(format_args!("{text:?}, expected {}", $expected));
                        $type::parse(text).ok_or_else(invalid)
                    }
                }
                deserializer.deserialize_str(Reader)
            }
        }
        impl std::str::FromStr for $type {
            type Err = String;
            fn from_str(text: &str) -> Result<Self, String> {
                $type::parse(text).ok_or_else(|| format!("{text:?}, expected {}", $expected))
            }
        }
    };
}

impl_unit_parsing!(Span, "a span such as 300ms or 2s");
impl_unit_parsing!(Rate, "a rate such as 810/s");
impl_unit_parsing!(Size, "a size such as 64KiB or 512");

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parse_requires_a_number_and_a_known_unit() {
        assert_eq!(Span::parse("1.5s"), Some(Span(1_500_000)));
        assert_eq!(Rate::parse("30/min"), Some(Rate(0.5)));
        assert_eq!(Size::parse("2KiB"), Some(Size(2048)));
        for invalid in ["", "5", "s", "-1s", "1..2s", "3 s", "1e400s"] {
            assert_eq!(Span::parse(invalid), None, "{invalid:?}");
        }
    }
}
