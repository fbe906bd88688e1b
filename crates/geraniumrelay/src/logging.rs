//! Logs: one line of key=value pairs for each event.

use std::io::Write;

use env_logger::fmt::Formatter;
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};

/// Sets the logger up; `RUST_LOG` chooses levels, `info` where it is absent.
pub fn init() {
    let env = env_logger::Env::default().default_filter_or("info");
    // A second call, as in tests, keeps the first logger.
    let _ = env_logger::Builder::from_env(env)
        .format(write_line)
        .try_init();
}

fn write_line(f: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    let time = humantime::format_rfc3339_millis(std::time::SystemTime::now());
    let level = record.level().as_str().to_ascii_lowercase();
    write!(
        f,
        "time={time} level={level} event={}",
        quote(&record.args().to_string())
    )?;
    let mut pairs = Pairs(String::new());
    // Pairs collects into a string and reports no error.
    let _ = record.key_values().visit(&mut pairs);
    writeln!(f, "{}", pairs.0)
}

struct Pairs(String);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.push(' ');
        self.0.push_str(key.as_str());
        self.0.push('=');
        self.0.push_str(&quote(&value.to_string()));
        Ok(())
    }
}

fn quote(text: &str) -> String {
    let is_plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
    if !text.is_empty() && text.chars().all(is_plain) {
        return text.to_owned();
    }
    format!("{text:?}")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn values_with_blanks_are_quoted() {
        assert_eq!(quote("plain-1.2:3"), "plain-1.2:3");
        assert_eq!(quote("two words"), "\"two words\"");
        assert_eq!(quote("line\nbreak"), "\"line\\nbreak\"");
        assert_eq!(quote(""), "\"\"");
    }
}
