//! Findings on a configuration.

use std::fmt;

use derive_more::Display;
use serde::Serialize;

/// Maximum number of characters of a value that are shown.
const MAX_VALUE_CHARS: usize = 80;

/// How serious a finding is, the most serious first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The configuration would be refused, or a part of it can't work.
    #[display("error")]
    Error,
    /// A part of it has no effect.
    #[display("warning")]
    Warning,
    /// It differs here from the one that it is compared with.
    #[display("change")]
    Change,
}

/// The configuration that a finding is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// The configuration that is checked.
    Checked,
    /// The one that it is compared with.
    Against,
}

/// One finding; its text has a single line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// Configuration that `place` is in.
    pub source: Source,
    /// Path of the field, such as `routes[3].stretch`, or line and column.
    pub place: String,
    /// What is wrong, or what differs.
    pub message: String,
    /// The value, as JSON; `None` where the field is missing.
    pub value: Option<String>,
    /// The values that are allowed.
    pub allowed: Option<String>,
}

impl Finding {
    fn new(severity: Severity, source: Source, place: String, message: impl Into<String>) -> Self {
        Self {
            severity,
            source,
            place,
            message: message.into(),
            value: None,
            allowed: None,
        }
    }

    pub(super) fn error(source: Source, place: String, message: impl Into<String>) -> Self {
        Self::new(Severity::Error, source, place, message)
    }

    pub(super) fn warning(source: Source, place: String, message: impl Into<String>) -> Self {
        Self::new(Severity::Warning, source, place, message)
    }

    pub(super) fn change(source: Source, place: String, message: impl Into<String>) -> Self {
        Self::new(Severity::Change, source, place, message)
    }

    /// Adds the value.
    pub(super) fn with_value(mut self, value: &impl Serialize) -> Self {
        self.value = Some(as_json(value));
        self
    }

    /// Adds what is allowed.
    pub(super) fn allowing(mut self, allowed: impl Into<String>) -> Self {
        self.allowed = Some(allowed.into());
        self
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.place, self.severity, self.message)?;
        if let Some(value) = &self.value {
            write!(f, "; value: {value}")?;
        }
        if let Some(allowed) = &self.allowed {
            write!(f, "; allowed: {allowed}")?;
        }
        Ok(())
    }
}

/// A value as JSON in one line, shortened where it is long. JSON escapes line breaks and control characters.
pub(super) fn as_json(value: &impl Serialize) -> String {
    let text = serde_json::to_string(value).unwrap_or_default();
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_VALUE_CHARS).collect();
    format!("{start}...")
}
