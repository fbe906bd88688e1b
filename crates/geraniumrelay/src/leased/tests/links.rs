//! Links between entry VMs over loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use geraniumrelay_core::leased::EntryVm;
use geraniumrelay_wire::leased::peer_message::Body;
use geraniumrelay_wire::leased::{Beat, Configuration, Submit, Withdraw};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::block_on;
use crate::leased::input::{self, Input};
use crate::leased::link_load::{MAX_LINK_BYTES, MAX_TOTAL_BYTES, TotalLoad};
use crate::leased::links::{self, Frame, Link};
use crate::leased::metrics::LeasedMetrics;

/// Size of a large message.
const MESSAGE_BYTES: usize = 60_000;

/// Longest wait for an input.
const INPUT_TIMEOUT: Duration = Duration::from_secs(5);

fn withdraw(id: u64) -> Frame {
    let cell = "all".to_owned();
    links::frame(Body::Withdraw(Withdraw { id, cell }))
}

fn configuration(bytes: usize) -> Frame {
    let row = vec![7; bytes];
    links::frame(Body::Configuration(Configuration { row }))
}

fn job() -> Frame {
    let payload = "p".repeat(4_000);
    links::frame(Body::Submit(Submit {
        payload,
        ..Submit::default()
    }))
}

fn heartbeat() -> Frame {
    let data_centre = "z".repeat(200);
    links::frame(Body::Beat(Beat {
        data_centre,
        ..Beat::default()
    }))
}

/// A listener that accepts no connection, so that nothing is read.
async fn peer_that_does_not_read() -> (EntryVm, SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (EntryVm(Ipv4Addr::LOCALHOST), address, listener)
}

async fn link_to_peer_that_does_not_read(metrics: Arc<LeasedMetrics>) -> (Link, TcpListener) {
    let (tx, rx) = input::channel(metrics);
    let (vm, address, listener) = peer_that_does_not_read().await;
    let link = Link::start(vm, 1, (vm, address), TotalLoad::default(), tx);
    assert_matches!(next_input(&rx).await, Input::LinkUp { .. });
    (link, listener)
}

/// Sends until the kernel's buffers and the link's queue are full.
async fn fill(link: &Link) {
    let mut refusals = 0;
    while refusals < 10 {
        while link.send(configuration(MESSAGE_BYTES)) {
            refusals = 0;
        }
        refusals += 1;
        // Time for the sending task to pass messages to the kernel.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Value of a metric by its name and labels, as served; 0 if it is not served.
fn value(metrics: &LeasedMetrics, name: &str) -> u64 {
    let text = String::from_utf8(metrics.encode()).unwrap();
    let value = text
        .lines()
        .find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    value.map_or(0, |v| v.parse().unwrap())
}

/// The next input that is not a hello.
async fn next_input(rx: &flume::Receiver<Input>) -> Input {
    loop {
        let input = timeout(INPUT_TIMEOUT, rx.recv_async())
            .await
            .unwrap()
            .unwrap();
        let is_hello = matches!(
            input,
            Input::Peer {
                body: Body::Hello(_),
                ..
            }
        );
        if !is_hello {
            return input;
        }
    }
}

#[test]
fn messages_arrive_in_order_and_a_broken_link_is_reported() {
    block_on(async {
        let metrics = Arc::new(LeasedMetrics::new().unwrap());
        let (tx, rx) = input::channel(metrics);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = spawn_local(links::accept_all(listener, tx.clone()));
        let vm = EntryVm(Ipv4Addr::LOCALHOST);
        let link = Link::start(vm, 1, (vm, address), TotalLoad::default(), tx);
        assert_matches!(next_input(&rx).await, Input::LinkUp { to } if to == vm);
        for id in 0..3 {
            assert!(link.send(withdraw(id)));
        }
        for id in 0..3 {
            let input = next_input(&rx).await;
            assert_matches!(input, Input::Peer { body: Body::Withdraw(w), .. } if w.id == id);
        }
        accepting.abort();
        drop(link);
        assert_matches!(next_input(&rx).await, Input::LinkLost { from, .. } if from == vm);
    });
}

#[test]
fn sending_to_a_peer_that_does_not_read_fails() {
    block_on(async {
        let metrics = Arc::new(LeasedMetrics::new().unwrap());
        let (link, _listener) = link_to_peer_that_does_not_read(metrics).await;
        let sent = (0..10_000).filter(|&id| link.send(withdraw(id))).count();
        assert!((1_000..10_000).contains(&sent), "{sent}");
    });
}

/// After a power failure, connection attempts to the peer hang. The link must not wait for a
/// pending attempt once the restarted peer has itself connected.
#[test]
fn a_link_reconnects_at_once_when_its_peer_has_connected() {
    block_on(async {
        let metrics = Arc::new(LeasedMetrics::new().unwrap());
        let (tx, rx) = input::channel(metrics);
        let vm = EntryVm(Ipv4Addr::LOCALHOST);
        // No listener has this port, so that each attempt is refused and a pause follows.
        let free_port = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = free_port.local_addr().unwrap();
        drop(free_port);
        let link = Link::start(vm, 1, (vm, address), TotalLoad::default(), tx.clone());
        tokio::time::sleep(Duration::from_millis(400)).await;
        let listener = TcpListener::bind(address).await.unwrap();
        let accepting = spawn_local(links::accept_all(listener, tx));
        link.peer_connected(7);
        assert_matches!(next_input(&rx).await, Input::LinkUp { to } if to == vm);
        // The peer has restarted: the link reconnects, as its connection is to the old process.
        link.peer_connected(7);
        link.peer_connected(8);
        loop {
            match next_input(&rx).await {
                Input::LinkUp { .. } => break,
                other => assert_matches!(other, Input::LinkLost { .. }),
            }
        }
        accepting.abort();
    });
}

#[test]
fn bytes_are_counted_by_direction_and_kind() {
    block_on(async {
        let metrics = Arc::new(LeasedMetrics::new().unwrap());
        let (tx, rx) = input::channel(Arc::clone(&metrics));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = spawn_local(links::accept_all(listener, tx.clone()));
        let vm = EntryVm(Ipv4Addr::LOCALHOST);
        let link = Link::start(vm, 1, (vm, address), TotalLoad::default(), tx);
        assert_matches!(next_input(&rx).await, Input::LinkUp { .. });
        for id in 1..=3 {
            assert!(link.send(withdraw(id)));
        }
        assert!(link.send(configuration(100_000)));
        for _ in 0..4 {
            assert_matches!(next_input(&rx).await, Input::Peer { .. });
        }
        // Length, keys and lengths of the message and its fields, the id, and the cell's name.
        let withdraw_bytes = 3 * (4 + 2 + 2 + 5);
        let configuration_bytes = 4 + 4 + 4 + 100_000;
        for direction in ["in", "out"] {
            let bytes = |kind| {
                let labels = format!("{{direction=\"{direction}\",kind=\"{kind}\"}}");
                value(&metrics, &format!("link_bytes_total{labels}"))
            };
            assert_eq!(bytes("withdraw"), withdraw_bytes);
            assert_eq!(bytes("configuration"), configuration_bytes);
            assert!(bytes("hello") > 0);
            assert_eq!(bytes("beat"), 0);
        }
        assert_eq!(value(&metrics, "link_queued_bytes"), 0);
        assert_eq!(value(&metrics, "link_messages_dropped_total"), 0);
        accepting.abort();
    });
}

/// Unsent messages to slow peers filled the memory, as only their number was limited.
#[test]
fn a_link_to_a_peer_that_does_not_read_holds_a_limited_number_of_bytes() {
    block_on(async {
        let metrics = Arc::new(LeasedMetrics::new().unwrap());
        let (link, _listener) = link_to_peer_that_does_not_read(Arc::clone(&metrics)).await;
        fill(&link).await;
        let queued = value(&metrics, "link_queued_bytes");
        let max = MAX_LINK_BYTES as u64;
        let least = max - MESSAGE_BYTES as u64 - 64;
        assert!((least..=max).contains(&queued), "{queued}");
        drop(link);
        let is_released = async {
            while value(&metrics, "link_queued_bytes") > 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(INPUT_TIMEOUT, is_released).await.unwrap();
    });
}

/// Jobs filled the queue of a slow link, and the peer received no heartbeats.
#[test]
fn jobs_leave_room_for_heartbeats_on_a_full_link() {
    block_on(async {
        let metrics = Arc::new(LeasedMetrics::new().unwrap());
        let (link, _listener) = link_to_peer_that_does_not_read(metrics).await;
        let jobs = std::iter::from_fn(|| link.send(job()).then_some(()));
        assert!(jobs.count() > 64);
        for _ in 0..100 {
            assert!(link.send(heartbeat()));
        }
        assert!(!link.send(job()));
    });
}

#[test]
fn all_links_together_hold_a_limited_number_of_bytes() {
    block_on(async {
        let metrics = Arc::new(LeasedMetrics::new().unwrap());
        let (tx, rx) = input::channel(Arc::clone(&metrics));
        let (vm, address, _listener) = peer_that_does_not_read().await;
        let total = TotalLoad::default();
        let count = 2 * MAX_TOTAL_BYTES / MAX_LINK_BYTES;
        let start = |_| Link::start(vm, 1, (vm, address), total.clone(), tx.clone());
        let mut links: Vec<Link> = (0..count).map(start).collect();
        for _ in &links {
            assert_matches!(next_input(&rx).await, Input::LinkUp { .. });
        }
        for link in &links {
            while link.send(job()) {}
        }
        let queued = value(&metrics, "link_queued_bytes");
        let max = MAX_TOTAL_BYTES as u64;
        assert!((max - 10_000..=max).contains(&queued), "{queued}");
        // A link without jobs still accepts heartbeats, and jobs once other links have ended.
        let last = links.pop().unwrap();
        assert!(!last.send(job()));
        assert!(last.send(heartbeat()));
        drop(links);
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(last.send(job()));
    });
}

/// A job that is larger than the share of jobs held back all others.
#[test]
fn an_empty_link_accepts_a_job_of_any_size() {
    block_on(async {
        let metrics = Arc::new(LeasedMetrics::new().unwrap());
        let (link, _listener) = link_to_peer_that_does_not_read(Arc::clone(&metrics)).await;
        let large = || {
            let payload = "p".repeat(400_000);
            links::frame(Body::Submit(Submit {
                payload,
                ..Submit::default()
            }))
        };
        let is_empty = async {
            while value(&metrics, "link_queued_bytes") > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(INPUT_TIMEOUT, is_empty).await.unwrap();
        assert!(link.send(large()));
        assert!(!link.send(large()));
    });
}

/// Messages that were queued when their connections ended used up the bytes of all links.
#[test]
fn a_link_holds_nothing_after_its_connection_has_ended() {
    block_on(async {
        let metrics = Arc::new(LeasedMetrics::new().unwrap());
        let (link, listener) = link_to_peer_that_does_not_read(Arc::clone(&metrics)).await;
        fill(&link).await;
        assert!(value(&metrics, "link_queued_bytes") > 0);
        // Unread bytes reset the connection.
        drop(listener);
        let is_released = async {
            while value(&metrics, "link_queued_bytes") > 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(INPUT_TIMEOUT, is_released).await.unwrap();
        assert!(!link.send(job()));
    });
}

/// Messages queued for peers that can't be reached used up the bytes of all links.
#[test]
fn unreachable_peers_do_not_keep_messages_from_a_reachable_one() {
    block_on(async {
        let metrics = Arc::new(LeasedMetrics::new().unwrap());
        let (tx, rx) = input::channel(metrics);
        let (vm, address, _listener) = peer_that_does_not_read().await;
        let total = TotalLoad::default();
        let reachable = Link::start(vm, 1, (vm, address), total.clone(), tx.clone());
        assert_matches!(next_input(&rx).await, Input::LinkUp { .. });
        let free_port = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let away = free_port.local_addr().unwrap();
        drop(free_port);
        let start = |_| Link::start(vm, 1, (vm, away), total.clone(), tx.clone());
        let unreachable: Vec<Link> = (0..40).map(start).collect();
        for link in &unreachable {
            while link.send(job()) {}
            while link.send(heartbeat()) {}
        }
        assert!(reachable.send(job()));
        assert!(reachable.send(heartbeat()));
    });
}

#[test]
fn messages_that_a_full_queue_refuses_are_counted() {
    block_on(async {
        let metrics = Arc::new(LeasedMetrics::new().unwrap());
        let (link, _listener) = link_to_peer_that_does_not_read(Arc::clone(&metrics)).await;
        let refused = (0..10_000).filter(|&id| !link.send(withdraw(id))).count();
        let counted = value(&metrics, "link_messages_dropped_total");
        assert_eq!(usize::try_from(counted).unwrap(), refused);
        assert!(refused > 0);
    });
}
