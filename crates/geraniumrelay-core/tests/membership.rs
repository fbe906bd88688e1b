//! Membership of entry VMs in several data centres, in virtual time: heartbeats, representatives
//! and peer digests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use geraniumrelay_core::modules::membership::{Membership, Owner, PeerStatus};
use geraniumrelay_core::{Config, Context, Incarnation};

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of ticks in one minute.
const TICKS_PER_MINUTE: u32 = 1_200;

fn status(dc: usize, n: usize) -> PeerStatus {
    let number = u16::try_from(dc * 100 + n).unwrap();
    PeerStatus {
        vm: format!("dc{dc}-e{n}").parse().unwrap(),
        data_centre: format!("dc{dc}").parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
        incarnation: Some(Incarnation(u64::from(number) + 1)),
        revision: 1,
        is_leaving: false,
        held: Vec::new(),
        spare: Vec::new(),
    }
}

struct Node {
    status: PeerStatus,
    membership: Membership,
    is_up: bool,
    message_count: u32,
    digest_count: u32,
}

struct Cluster {
    cfg: Config,
    now: Instant,
    nodes: Vec<Node>,
}

impl Cluster {
    /// Creates data centres whose entry VMs are all in the list of the platform.
    fn new(data_centres: usize, entries: usize) -> Self {
        let mut cluster = Self {
            cfg: Config::default(),
            now: Instant::now(),
            nodes: Vec::new(),
        };
        for dc in 0..data_centres {
            for n in 0..entries {
                let status = status(dc, n);
                cluster.nodes.push(Node {
                    membership: Membership::new(status.data_centre, status.incarnation.unwrap()),
                    status,
                    is_up: true,
                    message_count: 0,
                    digest_count: 0,
                });
            }
        }
        let all: Vec<PeerStatus> = cluster
            .nodes
            .iter()
            .map(|node| node.status.clone())
            .collect();
        let cx = Context::new(cluster.now, &cluster.cfg);
        for node in &mut cluster.nodes {
            let others = all.iter().filter(|status| status.vm != node.status.vm);
            let others = others.map(|status| PeerStatus {
                incarnation: None,
                ..status.clone()
            });
            node.membership.apply_platform_list(&cx, others.collect());
        }
        cluster
    }

    fn run_ticks(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now += TICK_INTERVAL;
            for sender in 0..self.nodes.len() {
                self.send_heartbeats(sender);
            }
        }
    }

    fn send_heartbeats(&mut self, sender: usize) {
        let cx = Context::new(self.now, &self.cfg);
        if !self.nodes[sender].is_up {
            return;
        }
        for to in self.nodes[sender].membership.take_due_heartbeats(&cx) {
            let peer = self
                .nodes
                .iter()
                .position(|n| n.status.address == to.address);
            let Some(peer) = peer.filter(|peer| self.nodes[*peer].is_up) else {
                continue;
            };
            let own = self.nodes[sender].status.clone();
            let data_centre = own.data_centre;
            let node = &mut self.nodes[peer];
            node.membership.on_heartbeat(&cx, own);
            node.message_count += 1;
            let reply = node.status.clone();
            let digest = node.membership.digest(&cx, reply.clone(), to.known_digest);
            let node = &mut self.nodes[sender];
            node.message_count += 1;
            node.membership.on_heartbeat(&cx, reply.clone());
            if reply.data_centre != data_centre {
                node.digest_count += u32::from(!digest.peers.is_empty());
                node.membership
                    .on_peer_digest(&cx, reply.data_centre, digest);
            }
        }
    }

    fn live_count(&self, observer: usize) -> usize {
        let cx = Context::new(self.now, &self.cfg);
        self.nodes[observer].membership.live_count(&cx)
    }

    fn owner_of_node(&self, observer: usize, subject: usize) -> Owner {
        let cx = Context::new(self.now, &self.cfg);
        let incarnation = self.nodes[subject].status.incarnation.unwrap();
        self.nodes[observer].membership.owner_of(&cx, incarnation)
    }
}

#[test]
fn every_vm_is_known_everywhere_through_few_representatives() {
    let mut cluster = Cluster::new(13, 8);
    cluster.run_ticks(TICKS_PER_MINUTE);
    for vm in 0..cluster.nodes.len() {
        assert_eq!(cluster.live_count(vm), 13 * 8 - 1);
        assert_eq!(
            cluster.owner_of_node(0, vm.max(1)),
            Owner::At(cluster.nodes[vm.max(1)].status.address)
        );
    }
    let interval = cluster.cfg.membership.heartbeat_interval.as_secs_f64();
    let mean = cluster
        .nodes
        .iter()
        .map(|n| f64::from(n.message_count))
        .sum::<f64>()
        / 104.0;
    let full_mesh = 60.0 * 103.0 / interval;
    assert!(mean < full_mesh / 5.0, "{mean} of {full_mesh}");
}

#[test]
fn data_centre_without_changes_sends_its_digest_once() {
    let mut cluster = Cluster::new(3, 4);
    cluster.run_ticks(TICKS_PER_MINUTE);
    let before: Vec<u32> = cluster.nodes.iter().map(|n| n.digest_count).collect();
    cluster.run_ticks(TICKS_PER_MINUTE);
    let after: Vec<u32> = cluster.nodes.iter().map(|n| n.digest_count).collect();
    assert_eq!(before, after);
}

#[test]
fn dead_representative_is_replaced_and_is_unresponsive_everywhere() {
    let mut cluster = Cluster::new(2, 3);
    cluster.run_ticks(TICKS_PER_MINUTE);
    cluster.nodes[3].is_up = false;
    cluster.run_ticks(TICKS_PER_MINUTE);
    for observer in 0..3 {
        assert_eq!(cluster.owner_of_node(observer, 3), Owner::Unresponsive);
        assert_matches!(cluster.owner_of_node(observer, 4), Owner::At(_));
        assert_matches!(cluster.owner_of_node(observer, 5), Owner::At(_));
    }
}

#[test]
fn replaced_vm_is_found_by_its_new_incarnation_and_a_held_incarnation_by_its_holder() {
    let mut cluster = Cluster::new(2, 3);
    cluster.run_ticks(TICKS_PER_MINUTE);
    let held = Incarnation(500);
    cluster.nodes[4].status.held.push(held);
    let replaced = cluster.nodes[3]
        .status
        .incarnation
        .replace(Incarnation(501))
        .unwrap();
    cluster.run_ticks(TICKS_PER_MINUTE);
    let cx = Context::new(cluster.now, &cluster.cfg);
    let membership = &cluster.nodes[0].membership;
    assert_eq!(
        membership.owner_of(&cx, held),
        Owner::At(cluster.nodes[4].status.address)
    );
    assert_eq!(
        membership.owner_of(&cx, Incarnation(501)),
        Owner::At(cluster.nodes[3].status.address)
    );
    assert_eq!(membership.owner_of(&cx, replaced), Owner::Unknown);
}

#[test]
fn unlisted_and_unresponsive_vm_is_removed_with_its_incarnations() {
    let mut cluster = Cluster::new(1, 2);
    cluster.run_ticks(TICKS_PER_MINUTE);
    cluster.nodes[1].is_up = false;
    let cx = Context::new(cluster.now, &cluster.cfg);
    cluster.nodes[0]
        .membership
        .apply_platform_list(&cx, Vec::new());
    assert_matches!(cluster.owner_of_node(0, 1), Owner::At(_));
    cluster.run_ticks(TICKS_PER_MINUTE);
    let cx = Context::new(cluster.now, &cluster.cfg);
    cluster.nodes[0]
        .membership
        .apply_platform_list(&cx, Vec::new());
    assert_eq!(cluster.owner_of_node(0, 1), Owner::Unknown);
    assert_eq!(cluster.nodes[0].membership.peers().count(), 0);
}
