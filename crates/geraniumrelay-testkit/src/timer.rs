//! Timer of stand-ins: finer than the runtime's, whose steps of a millisecond would show in every
//! response time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant};

use flume::{Receiver, RecvTimeoutError, Sender};

/// Longest wait of the timer thread for its next wish.
const IDLE_WAIT: Duration = Duration::from_secs(1);

/// One sleeper.
#[derive(Debug)]
struct Sleeper {
    until: Instant,
    seq: u64,
    tx: Sender<()>,
}

impl PartialEq for Sleeper {
    fn eq(&self, other: &Self) -> bool {
        (self.until, self.seq) == (other.until, other.seq)
    }
}

impl Eq for Sleeper {}

impl PartialOrd for Sleeper {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Sleeper {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.until, self.seq).cmp(&(other.until, other.seq))
    }
}

/// Sleeps for `time`.
pub async fn sleep(time: Duration) {
    static TIMER: OnceLock<Sender<Sleeper>> = OnceLock::new();
    if time.is_zero() {
        return;
    }
    let timer = TIMER.get_or_init(start);
    let (tx, rx) = flume::bounded(1);
    let until = Instant::now() + time;
    // The timer thread never ends, and wakes each sleeper once.
    let _ = timer.send(Sleeper { until, seq: 0, tx });
    let _ = rx.recv_async().await;
}

fn start() -> Sender<Sleeper> {
    let (tx, rx) = flume::unbounded();
    thread::spawn(move || run(&rx));
    tx
}

fn run(rx: &Receiver<Sleeper>) {
    let mut sleepers = BinaryHeap::new();
    let mut seq = 0;
    loop {
        let next = sleepers
            .peek()
            .map(|Reverse(sleeper): &Reverse<Sleeper>| sleeper.until);
        let until = next.unwrap_or_else(|| Instant::now() + IDLE_WAIT);
        match rx.recv_deadline(until) {
            Ok(sleeper) => {
                seq += 1;
                sleepers.push(Reverse(Sleeper { seq, ..sleeper }));
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        wake_due(&mut sleepers);
    }
}

fn wake_due(sleepers: &mut BinaryHeap<Reverse<Sleeper>>) {
    let now = Instant::now();
    while sleepers
        .peek()
        .is_some_and(|Reverse(sleeper)| sleeper.until <= now)
    {
        if let Some(Reverse(sleeper)) = sleepers.pop() {
            // Its task may have been stopped.
            let _ = sleeper.tx.try_send(());
        }
    }
}
