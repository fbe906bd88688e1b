//! Log output: one line of `key=value` pairs for each event.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use env_logger::fmt::Formatter;
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};

/// Installs the logger; `RUST_LOG` sets the levels, with `info` as the default.
pub fn init() {
    let env = env_logger::Env::default().default_filter_or("info");
    // Fails if a logger is installed already, as in tests; the first logger is kept.
    let _ = env_logger::Builder::from_env(env)
        .format(write_line)
        .try_init();
}

/// Maximum number of lines queued for the writer thread; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Time for which the writer thread collects lines, so that one write call outputs many of them.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum wait of [`LogWriter::flush`], which runs at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Handle of the thread that writes log lines.
#[derive(Debug)]
pub struct LogWriter {
    flush: flume::Sender<flume::Sender<()>>,
}

impl LogWriter {
    /// Waits until all lines logged before the call are written, up to a time-out.
    pub fn flush(&self) {
        let (done_tx, done_rx) = flume::bounded(1);
        // Sending fails if the writer thread has ended; there is nothing to wait for then.
        if self.flush.send(done_tx).is_ok() {
            let _ = done_rx.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Installs a logger that writes to standard output on a separate thread, so that logging never
/// blocks on the output.
pub fn init_with_writer() -> LogWriter {
    let (lines, rx) = flume::bounded::<Vec<u8>>(MAX_QUEUED_LINES);
    let (flush, flush_rx) = flume::bounded::<flume::Sender<()>>(1);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&dropped);
    // If the thread can't be started, the process runs without logs.
    let _ = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&rx, &flush_rx, &counter));
    let env = env_logger::Env::default().default_filter_or("info");
    // Fails if a logger is installed already, as in tests; the first logger is kept.
    let _ = env_logger::Builder::from_env(env)
        .format(write_line)
        .target(env_logger::Target::Pipe(Box::new(LineQueue {
            lines,
            dropped,
        })))
        .try_init();
    LogWriter { flush }
}

/// Queues lines for the writer thread; never blocks.
struct LineQueue {
    lines: flume::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for LineQueue {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        if self.lines.try_send(buf.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn write_lines(
    rx: &flume::Receiver<Vec<u8>>,
    flush: &flume::Receiver<flume::Sender<()>>,
    dropped: &AtomicU64,
) {
    let mut out = std::io::stdout();
    let mut buf = Vec::new();
    loop {
        let done = flume::Selector::new()
            .recv(rx, |line| line.ok().map(|line| (Some(line), None)))
            .recv(flush, |done| done.ok().map(|done| (None, Some(done))))
            .wait();
        let Some((line, done)) = done else { return };
        buf.extend(line.unwrap_or_default());
        if done.is_none() {
            thread::sleep(BATCH_INTERVAL);
        }
        for line in rx.drain() {
            buf.extend(line);
        }
        let dropped_count = dropped.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            buf.extend(
                format!("level=warn event=log_lines_dropped count={dropped_count}\n").into_bytes(),
            );
        }
        // A failed write to standard output can't be logged.
        let _ = out.write_all(&buf).and_then(|()| out.flush());
        buf.clear();
        if let Some(done) = done {
            // The flush may have timed out.
            let _ = done.send(());
        }
    }
}

/// Formats one record; the message text is the event name.
fn write_line(f: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    let time = humantime::format_rfc3339_millis(std::time::SystemTime::now());
    let level = record.level().as_str().to_ascii_lowercase();
    write!(
        f,
        "time={time} level={level} event={}",
        quote(&record.args().to_string())
    )?;
    let mut pairs = PairWriter(String::new());
    // Writing into a string can't fail.
    let _ = record.key_values().visit(&mut pairs);
    writeln!(f, "{}", pairs.0)
}

/// Collects key-value pairs as text, each with a leading space.
struct PairWriter(String);

impl<'kvs> VisitSource<'kvs> for PairWriter {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.push(' ');
        self.0.push_str(key.as_str());
        self.0.push('=');
        self.0.push_str(&quote(&value.to_string()));
        Ok(())
    }
}

/// Quotes and escapes an empty value, and one with blanks, control characters, quotes, `=` or
/// characters outside ASCII.
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
    fn values_with_special_characters_are_quoted() {
        assert_eq!(quote("plain-1.2:3"), "plain-1.2:3");
        assert_eq!(quote("two words"), "\"two words\"");
        assert_eq!(quote("line\nbreak"), "\"line\\nbreak\"");
        assert_eq!(quote(""), "\"\"");
    }
}
