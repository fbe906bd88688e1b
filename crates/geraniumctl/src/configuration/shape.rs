//! Fields of a configuration: which there are, and which values can be read.

use serde_json::{Map, Value};

use super::finding::{Finding, Source, as_json};

/// Type of a field.
#[derive(Debug, Clone, Copy)]
enum Kind {
    Text,
    Flag,
    Number,
    /// A whole number up to the given one.
    Count(u64),
}

impl Kind {
    fn allows(self, value: &Value) -> bool {
        match self {
            Self::Text => value.is_string(),
            Self::Flag => value.is_boolean(),
            Self::Number => value.is_number(),
            Self::Count(max) => value.as_u64().is_some_and(|n| n <= max),
        }
    }

    fn allowed(self) -> String {
        match self {
            Self::Text => "a string".to_owned(),
            Self::Flag => "true or false".to_owned(),
            Self::Number => "a number".to_owned(),
            Self::Count(max) => format!("a whole number from 0 to {max}"),
        }
    }
}

/// Whether a field may be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presence {
    Required,
    Optional,
    /// May also be `null`.
    Nullable,
}

use Kind::{Count, Flag, Number, Text};
use Presence::{Nullable, Optional, Required};

type Field = (&'static str, Kind, Presence);

const ROUTE: [Field; 9] = [
    ("name", Text, Required),
    ("host", Text, Required),
    ("path_prefix", Text, Required),
    ("service", Text, Required),
    ("timeout_ms", Count(u64::MAX), Nullable),
    ("target_latency_ms", Number, Optional),
    ("priority", Count(u8::MAX as u64), Optional),
    ("max_attempts", Count(u32::MAX as u64), Optional),
    ("stretch", Number, Optional),
];

const SERVICE: [Field; 2] = [
    ("name", Text, Required),
    ("enforces_capacity", Flag, Optional),
];

const LIMITS: [Field; 2] = [
    ("max_body_bytes", Count(u64::MAX), Required),
    ("header_timeout_ms", Count(u64::MAX), Required),
];

/// Fields of routes that the platform defines and that have no effect here: every configuration holds some of them.
const UNUSED_ROUTE: [&str; 4] = ["kind", "allowed_regions", "rate_per_s", "advisor"];

/// Same of services.
const UNUSED_SERVICE: [&str; 7] = [
    "health_path",
    "max_connections",
    "protocol",
    "tls",
    "cold_start_s",
    "cold_per_s",
    "standby",
];

/// Same of the limits.
const UNUSED_LIMITS: [&str; 2] = ["max_header_bytes", "idle_timeout_ms"];

/// Fields of the whole configuration.
const ALL: [&str; 4] = ["version", "routes", "services", "limits"];

/// Finds the fields that are missing, can't be read or are unknown.
pub(super) fn check(value: &Value, source: Source) -> Vec<Finding> {
    let mut shape = Shape {
        source,
        out: Vec::new(),
    };
    let Some(object) = shape.object("", Some(value)) else {
        return shape.out;
    };
    shape.field("", object, ("version", Count(u64::MAX), Required));
    shape.list(object, "routes", &ROUTE, &UNUSED_ROUTE);
    shape.list(object, "services", &SERVICE, &UNUSED_SERVICE);
    if let Some(limits) = shape.object("limits", object.get("limits")) {
        shape.fields("limits", limits, &LIMITS, &UNUSED_LIMITS);
    }
    shape.unknown("", object, &ALL, &[]);
    shape.out
}

struct Shape {
    source: Source,
    out: Vec<Finding>,
}

impl Shape {
    /// The object at `place`; records where there is none.
    fn object<'a>(
        &mut self,
        place: &str,
        value: Option<&'a Value>,
    ) -> Option<&'a Map<String, Value>> {
        let object = value.and_then(Value::as_object);
        if object.is_none() {
            self.mismatch(place, value, "an object");
        }
        object
    }

    fn list(&mut self, object: &Map<String, Value>, name: &str, fields: &[Field], unused: &[&str]) {
        let Some(value) = object.get(name) else {
            return;
        };
        let Some(list) = value.as_array() else {
            self.mismatch(name, Some(value), "a list");
            return;
        };
        for (number, entry) in list.iter().enumerate() {
            let place = format!("{name}[{number}]");
            if let Some(entry) = self.object(&place, Some(entry)) {
                self.fields(&place, entry, fields, unused);
            }
        }
    }

    fn fields(
        &mut self,
        place: &str,
        object: &Map<String, Value>,
        fields: &[Field],
        unused: &[&str],
    ) {
        for &field in fields {
            self.field(place, object, field);
        }
        let names: Vec<&str> = fields.iter().map(|f| f.0).collect();
        self.unknown(place, object, &names, unused);
    }

    fn field(&mut self, place: &str, object: &Map<String, Value>, (name, kind, presence): Field) {
        let value = object.get(name);
        let is_allowed = match value {
            None => presence != Required,
            Some(Value::Null) => presence == Nullable,
            Some(value) => kind.allows(value),
        };
        if !is_allowed {
            self.mismatch(&join(place, name), value, &kind.allowed());
        }
    }

    fn mismatch(&mut self, place: &str, value: Option<&Value>, allowed: &str) {
        let place = if place.is_empty() { "top level" } else { place };
        let place = place.to_owned();
        let finding = match value {
            None => Finding::error(self.source, place, "the field is missing"),
            Some(value) => {
                Finding::error(self.source, place, "the value can't be read").with_value(value)
            }
        };
        self.out.push(finding.allowing(allowed));
    }

    fn unknown(
        &mut self,
        place: &str,
        object: &Map<String, Value>,
        known: &[&str],
        unused: &[&str],
    ) {
        for (name, value) in object {
            let name = name.as_str();
            if !known.contains(&name) && !unused.contains(&name) {
                let place = join(place, &field_name(name));
                let message = "no process reads this field";
                let finding = Finding::warning(self.source, place, message).with_value(value);
                self.out.push(finding.allowing(known.join(", ")));
            }
        }
    }
}

fn join(place: &str, name: &str) -> String {
    if place.is_empty() {
        name.to_owned()
    } else {
        format!("{place}.{name}")
    }
}

/// The name of an unknown field, quoted where it is not a plain word.
fn field_name(name: &str) -> String {
    let is_word = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
    if !name.is_empty() && name.chars().all(is_word) {
        name.to_owned()
    } else {
        as_json(&name)
    }
}
