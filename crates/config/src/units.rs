//! Values with units, as written in the configuration: durations, sizes, rates and portions of memory.

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use stairshed_memory as memory;
use std::borrow::Cow;
use std::fmt;
use std::time::Duration;

/// A duration, such as `"250ms"`, `"2s"` or `"1m 30s"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

impl Span {
    /// A duration in milliseconds.
    pub const fn ms(ms: u64) -> Self {
        Span(Duration::from_millis(ms))
    }

    /// A duration in seconds.
    pub const fn secs(s: u64) -> Self {
        Span(Duration::from_secs(s))
    }
}

/// A size in bytes, such as `"64KiB"` or `"3MB"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

/// A rate, such as `"50/s"`, `"600/min"` or `"10/h"`, stored as calls per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

/// Maximum duration. A longer one is rejected as a mistake, since microsecond counters would overflow.
const MAX_SPAN: Duration = Duration::from_secs(10 * 365 * 24 * 3600);

fn parse_span(text: &str) -> Result<Span, String> {
    let reason =
        || format!("{text:?} is no time span: write a number and its unit, such as \"250ms\" or \"2s\"");
    let span = humantime::parse_duration(text).map_err(|_| reason())?;
    if span > MAX_SPAN {
        return Err(format!("{text:?} is longer than ten years"));
    }
    Ok(Span(span))
}

fn parse_size(text: &str) -> Result<Size, String> {
    let reason = || format!("{text:?} is no size: write a number and its unit, such as \"64KiB\" or \"3MB\"");
    let bare = text.trim().bytes().all(|b| b.is_ascii_digit());
    let size: bytesize::ByteSize = text.parse().map_err(|_| reason())?;
    if bare { Err(reason()) } else { Ok(Size(size.as_u64())) }
}

/// A portion of the memory: a share, such as `"30%"`, or a size, such as `"16MB"`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Portion(pub memory::CapSetting);

fn parse_portion(text: &str) -> Result<Portion, String> {
    let reason = |_| {
        format!("{text:?} is no part of the memory: write a share or a size, such as \"30%\" or \"16MB\"")
    };
    match text.trim().strip_suffix('%') {
        None => parse_size(text).map(|size| Portion(memory::CapSetting::Size(size.0))).map_err(reason),
        Some(number) => {
            let share = number.trim().parse::<f64>().map_err(|e| reason(e.to_string()))?;
            Ok(Portion(memory::CapSetting::Share(share / 100.0)))
        }
    }
}

fn parse_rate(text: &str) -> Result<Rate, String> {
    let reason = || format!("{text:?} is no rate: write a number a span, such as \"50/s\" or \"600/min\"");
    let (number, unit) = text.split_once('/').ok_or_else(reason)?;
    let number: f64 = number.trim().parse().map_err(|_| reason())?;
    let span = match unit.trim() {
        "s" => 1.0,
        "min" => 60.0,
        "h" => 3600.0,
        _ => return Err(reason()),
    };
    let rate = number / span;
    if rate.is_finite() && rate > 0.0 { Ok(Rate(rate)) } else { Err(reason()) }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", humantime::format_duration(self.0))
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}B", self.0)
    }
}

impl fmt::Display for Portion {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            memory::CapSetting::Share(share) => write!(f, "{}%", share * 100.0),
            memory::CapSetting::Size(bytes) => write!(f, "{}", Size(bytes)),
        }
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// Implements (de)serialization of a unit as text, and its JSON schema.
macro_rules! impl_text_format {
    ($name:ident, $read:ident, $pattern:literal, $what:literal) => {
        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                struct Text;
                impl de::Visitor<'_> for Text {
                    type Value = $name;
                    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                        f.write_str($what)
                    }
                    fn visit_str<E: de::Error>(self, text: &str) -> Result<$name, E> {
                        $read(text).map_err(E::custom)
                    }
                }
                from.deserialize_str(Text)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                to.collect_str(self)
            }
        }

        impl JsonSchema for $name {
            fn schema_name() -> Cow<'static, str> {
                stringify!($name).into()
            }
            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({ "type": "string", "pattern": $pattern, "description": $what })
            }
        }
    };
}

impl_text_format!(Span, parse_span, r"^\s*([0-9]+\s*[a-z]+\s*)+$", "a time span in text, such as \"250ms\"");
impl_text_format!(Size, parse_size, r"^[0-9.]+\s*[kKMGTP]?i?B$", "a size in text, such as \"64KiB\"");
impl_text_format!(
    Portion,
    parse_portion,
    r"^[0-9.]+\s*([kKMGTP]?i?B|%)$",
    "a part of the memory in text, such as \"30%\" or \"16MB\""
);
impl_text_format!(Rate, parse_rate, r"^[0-9.]+\s*/\s*(s|min|h)$", "a rate in text, such as \"50/s\"");

#[cfg(test)]
#[path = "units_test.rs"]
mod tests;
