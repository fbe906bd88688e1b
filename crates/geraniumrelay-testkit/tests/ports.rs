//! Addresses for stand-ins and entry processes, while other threads start processes.

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_testkit::ports;

/// Number of threads that start processes.
const SPAWNERS: usize = 6;

/// Duration of the test.
const DURATION: Duration = Duration::from_secs(3);

/// A process that is being started holds all sockets of its parent until it executes its program.
#[test]
fn a_free_address_can_be_bound_while_processes_are_started() {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..SPAWNERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let mut child = ports::spawn(&mut Command::new("true")).unwrap();
                    child.wait().unwrap();
                }
            });
        }
        let deadline = Instant::now() + DURATION;
        let mut binds = 0;
        while Instant::now() < deadline {
            let address = ports::free_address();
            let bound = TcpListener::bind(address);
            if let Err(e) = bound {
                is_over.store(true, Ordering::Relaxed);
                panic!("{address} after {binds} others: {e}");
            }
            binds += 1;
        }
        is_over.store(true, Ordering::Relaxed);
    });
}
