//! Logs: one line of key=value pairs for each event.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

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

/// Lines that wait for the writer at most; more are dropped and counted.
const RING: usize = 4_096;

/// Time over which the writer gathers lines, so that many of them go out in one call.
const GATHER: Duration = Duration::from_millis(100);

/// Longest wait for the last lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// The writer of log lines.
#[derive(Debug)]
pub struct LogWriter {
    flush: flume::Sender<flume::Sender<()>>,
}

impl LogWriter {
    /// Waits until the lines so far have been written.
    pub fn flush(&self) {
        let (done, is_done) = flume::bounded(1);
        // Where the writer has ended there is nothing left to write.
        if self.flush.send(done).is_ok() {
            let _ = is_done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Sets the logger up to write to standard output from a thread of its own, so that nobody who logs
/// ever waits for the output.
pub fn init_with_writer() -> LogWriter {
    let (lines, rx) = flume::bounded::<Vec<u8>>(RING);
    let (flush, flush_rx) = flume::bounded::<flume::Sender<()>>(1);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&dropped);
    // Without the thread there are no logs, and the process runs all the same.
    let _ = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&rx, &flush_rx, &counter));
    let env = env_logger::Env::default().default_filter_or("info");
    // A second call, as in tests, keeps the first logger.
    let _ = env_logger::Builder::from_env(env)
        .format(write_line)
        .target(env_logger::Target::Pipe(Box::new(Ring { lines, dropped })))
        .try_init();
    LogWriter { flush }
}

/// Passes lines on without waiting.
struct Ring {
    lines: flume::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for Ring {
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
            thread::sleep(GATHER);
        }
        for line in rx.drain() {
            buf.extend(line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            buf.extend(format!("level=warn event=log_lines_dropped count={lost}\n").into_bytes());
        }
        // Where nobody takes the output there is nobody to tell.
        let _ = out.write_all(&buf).and_then(|()| out.flush());
        buf.clear();
        if let Some(done) = done {
            // Whoever asked may have stopped waiting.
            let _ = done.send(());
        }
    }
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
