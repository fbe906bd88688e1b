//! Timer of the stand-ins, with a finer resolution than the runtime's timer, whose steps of 1 ms
//! would show in every response time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant};

use flume::{Receiver, RecvTimeoutError, Sender};

/// Maximum time the timer thread waits for a request while no sleep is pending.
const IDLE_WAIT: Duration = Duration::from_secs(1);

/// A pending sleep, ordered by deadline and then by arrival.
#[derive(Debug)]
struct PendingSleep {
    deadline: Instant,
    seq: u64,
    wake_tx: Sender<()>,
}

impl PartialEq for PendingSleep {
    fn eq(&self, other: &Self) -> bool {
        (self.deadline, self.seq) == (other.deadline, other.seq)
    }
}

impl Eq for PendingSleep {}

impl PartialOrd for PendingSleep {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PendingSleep {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.deadline, self.seq).cmp(&(other.deadline, other.seq))
    }
}

/// Sleeps for `duration`; returns at once if it is zero.
pub async fn sleep(duration: Duration) {
    static TIMER: OnceLock<Sender<PendingSleep>> = OnceLock::new();
    if duration.is_zero() {
        return;
    }
    let timer = TIMER.get_or_init(start);
    let (wake_tx, wake_rx) = flume::bounded(1);
    let deadline = Instant::now() + duration;
    // The timer thread never ends and sends each wake-up once, so neither call fails.
    let _ = timer.send(PendingSleep {
        deadline,
        seq: 0,
        wake_tx,
    });
    let _ = wake_rx.recv_async().await;
}

fn start() -> Sender<PendingSleep> {
    let (tx, rx) = flume::unbounded();
    thread::spawn(move || run(&rx));
    tx
}

fn run(rx: &Receiver<PendingSleep>) {
    let mut pending = BinaryHeap::new();
    let mut seq = 0;
    loop {
        let next = pending
            .peek()
            .map(|Reverse(sleep): &Reverse<PendingSleep>| sleep.deadline);
        let deadline = next.unwrap_or_else(|| Instant::now() + IDLE_WAIT);
        match rx.recv_deadline(deadline) {
            Ok(sleep) => {
                seq += 1;
                pending.push(Reverse(PendingSleep { seq, ..sleep }));
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        wake_due(&mut pending);
    }
}

fn wake_due(pending: &mut BinaryHeap<Reverse<PendingSleep>>) {
    let now = Instant::now();
    while pending
        .peek()
        .is_some_and(|Reverse(sleep)| sleep.deadline <= now)
    {
        if let Some(Reverse(sleep)) = pending.pop() {
            // The sleeping future may have been dropped.
            let _ = sleep.wake_tx.try_send(());
        }
    }
}
