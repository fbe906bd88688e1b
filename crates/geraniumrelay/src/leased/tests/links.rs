//! Links between entry VMs, on loopback.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use geraniumrelay_core::leased::EntryVm;
use geraniumrelay_wire::leased::Withdraw;
use geraniumrelay_wire::leased::peer_message::Body;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

use crate::leased::input::{self, Input};
use crate::leased::links::{self, Link};
use crate::leased::metrics::LeasedMetrics;

/// Longest wait for an input.
const WAIT: Duration = Duration::from_secs(5);

fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn withdraw(id: u64) -> bytes::Bytes {
    let cell = "all".to_owned();
    links::frame(Body::Withdraw(Withdraw { id, cell }))
}

async fn next(rx: &flume::Receiver<Input>) -> Input {
    loop {
        let input = timeout(WAIT, rx.recv_async()).await.unwrap().unwrap();
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
fn messages_arrive_in_order_and_a_broken_link_is_told() {
    run(async {
        let metrics = Arc::new(LeasedMetrics::new().unwrap());
        let (tx, rx) = input::channel(metrics);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = spawn_local(links::accept_all(listener, tx.clone()));
        let vm = EntryVm(Ipv4Addr::LOCALHOST);
        let link = Link::start(vm, 1, (vm, address), tx);
        assert_matches!(next(&rx).await, Input::LinkUp { to } if to == vm);
        for id in 0..3 {
            assert!(link.send(withdraw(id)));
        }
        for id in 0..3 {
            let input = next(&rx).await;
            assert_matches!(input, Input::Peer { body: Body::Withdraw(w), .. } if w.id == id);
        }
        accepting.abort();
        drop(link);
        assert_matches!(next(&rx).await, Input::LinkLost { from } if from == vm);
    });
}

#[test]
fn a_peer_that_does_not_read_is_noticed() {
    run(async {
        let metrics = Arc::new(LeasedMetrics::new().unwrap());
        let (tx, _rx) = input::channel(metrics);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let vm = EntryVm(Ipv4Addr::LOCALHOST);
        let link = Link::start(vm, 1, (vm, address), tx);
        let sent = (0..10_000).filter(|&id| link.send(withdraw(id))).count();
        assert!(sent < 10_000);
    });
}

/// An attempt to connect hangs, as the peer was without power; the peer is back and has connected
/// itself.
#[test]
fn a_link_is_made_at_once_when_its_peer_has_connected() {
    run(async {
        let metrics = Arc::new(LeasedMetrics::new().unwrap());
        let (tx, rx) = input::channel(metrics);
        let vm = EntryVm(Ipv4Addr::LOCALHOST);
        // Nobody listens there, so that each attempt is refused and a pause follows.
        let free = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = free.local_addr().unwrap();
        drop(free);
        let link = Link::start(vm, 1, (vm, address), tx.clone());
        tokio::time::sleep(Duration::from_millis(400)).await;
        let listener = TcpListener::bind(address).await.unwrap();
        let accepting = spawn_local(links::accept_all(listener, tx));
        link.peer_connected(7);
        assert_matches!(next(&rx).await, Input::LinkUp { to } if to == vm);
        // The peer has started anew: the connection to its former process is made again.
        link.peer_connected(7);
        link.peer_connected(8);
        loop {
            match next(&rx).await {
                Input::LinkUp { .. } => break,
                other => assert_matches!(other, Input::LinkLost { .. }),
            }
        }
        accepting.abort();
    });
}
