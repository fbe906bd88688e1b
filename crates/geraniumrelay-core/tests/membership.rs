//! Entry VMs of several data centres in virtual time: heartbeats, contacts and their digests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use geraniumrelay_core::modules::membership::{Membership, Owner, PeerStatus};
use geraniumrelay_core::{Config, Context, Incarnation};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// Ticks of a minute.
const TICKS_PER_MINUTE: u32 = 1_200;

fn status(dc: usize, n: usize) -> PeerStatus {
    let at = u16::try_from(dc * 100 + n).unwrap();
    PeerStatus {
        vm: format!("dc{dc}-e{n}").parse().unwrap(),
        data_centre: format!("dc{dc}").parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + at)),
        incarnation: Some(Incarnation(u64::from(at) + 1)),
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
    exchanges: u32,
    digests: u32,
}

struct World {
    cfg: Config,
    now: Instant,
    nodes: Vec<Node>,
}

impl World {
    /// Data centres whose entry VMs all stand in the platform's list.
    fn new(data_centres: usize, entries: usize) -> Self {
        let mut world = Self {
            cfg: Config::default(),
            now: Instant::now(),
            nodes: Vec::new(),
        };
        for dc in 0..data_centres {
            for n in 0..entries {
                let status = status(dc, n);
                world.nodes.push(Node {
                    membership: Membership::new(status.data_centre, status.incarnation.unwrap()),
                    status,
                    is_up: true,
                    exchanges: 0,
                    digests: 0,
                });
            }
        }
        let all: Vec<PeerStatus> = world.nodes.iter().map(|node| node.status.clone()).collect();
        let cx = Context::new(world.now, &world.cfg);
        for node in &mut world.nodes {
            let others = all.iter().filter(|status| status.vm != node.status.vm);
            let others = others.map(|status| PeerStatus {
                incarnation: None,
                ..status.clone()
            });
            node.membership.apply_platform_list(&cx, others.collect());
        }
        world
    }

    fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now += TICK;
            for at in 0..self.nodes.len() {
                self.beat(at);
            }
        }
    }

    fn beat(&mut self, at: usize) {
        let cx = Context::new(self.now, &self.cfg);
        if !self.nodes[at].is_up {
            return;
        }
        for to in self.nodes[at].membership.take_due_heartbeats(&cx) {
            let peer = self
                .nodes
                .iter()
                .position(|n| n.status.address == to.address);
            let Some(peer) = peer.filter(|peer| self.nodes[*peer].is_up) else {
                continue;
            };
            let own = self.nodes[at].status.clone();
            let data_centre = own.data_centre;
            let node = &mut self.nodes[peer];
            node.membership.on_heartbeat(&cx, own);
            node.exchanges += 1;
            let reply = node.status.clone();
            let digest = node.membership.digest(&cx, reply.clone(), to.known_digest);
            let node = &mut self.nodes[at];
            node.exchanges += 1;
            node.membership.on_heartbeat(&cx, reply.clone());
            if reply.data_centre != data_centre {
                node.digests += u32::from(!digest.peers.is_empty());
                node.membership
                    .on_peer_digest(&cx, reply.data_centre, digest);
            }
        }
    }

    fn live_count(&self, at: usize) -> usize {
        let cx = Context::new(self.now, &self.cfg);
        self.nodes[at].membership.live_count(&cx)
    }

    fn owner(&self, at: usize, of: usize) -> Owner {
        let cx = Context::new(self.now, &self.cfg);
        let incarnation = self.nodes[of].status.incarnation.unwrap();
        self.nodes[at].membership.owner_of(&cx, incarnation)
    }
}

#[test]
fn every_vm_is_known_everywhere_through_few_contacts() {
    let mut world = World::new(13, 8);
    world.run(TICKS_PER_MINUTE);
    for at in 0..world.nodes.len() {
        assert_eq!(world.live_count(at), 13 * 8 - 1);
        assert_eq!(
            world.owner(0, at.max(1)),
            Owner::At(world.nodes[at.max(1)].status.address)
        );
    }
    let interval = world.cfg.membership.heartbeat_interval.as_secs_f64();
    let mean = world
        .nodes
        .iter()
        .map(|n| f64::from(n.exchanges))
        .sum::<f64>()
        / 104.0;
    let full_mesh = 60.0 * 103.0 / interval;
    assert!(mean < full_mesh / 5.0, "{mean} of {full_mesh}");
}

#[test]
fn a_quiet_data_centre_sends_its_digest_once() {
    let mut world = World::new(3, 4);
    world.run(TICKS_PER_MINUTE);
    let before: Vec<u32> = world.nodes.iter().map(|n| n.digests).collect();
    world.run(TICKS_PER_MINUTE);
    let after: Vec<u32> = world.nodes.iter().map(|n| n.digests).collect();
    assert_eq!(before, after);
}

#[test]
fn a_dead_contact_is_replaced_and_a_dead_vm_is_silent_everywhere() {
    let mut world = World::new(2, 3);
    world.run(TICKS_PER_MINUTE);
    world.nodes[3].is_up = false;
    world.run(TICKS_PER_MINUTE);
    for at in 0..3 {
        assert_eq!(world.owner(at, 3), Owner::Unresponsive);
        assert_matches!(world.owner(at, 4), Owner::At(_));
        assert_matches!(world.owner(at, 5), Owner::At(_));
    }
}

#[test]
fn a_replaced_vm_is_known_by_its_new_incarnation_and_the_old_one_by_its_holder() {
    let mut world = World::new(2, 3);
    world.run(TICKS_PER_MINUTE);
    let gone = Incarnation(500);
    world.nodes[4].status.held.push(gone);
    let old = world.nodes[3]
        .status
        .incarnation
        .replace(Incarnation(501))
        .unwrap();
    world.run(TICKS_PER_MINUTE);
    let cx = Context::new(world.now, &world.cfg);
    let membership = &world.nodes[0].membership;
    assert_eq!(
        membership.owner_of(&cx, gone),
        Owner::At(world.nodes[4].status.address)
    );
    assert_eq!(
        membership.owner_of(&cx, Incarnation(501)),
        Owner::At(world.nodes[3].status.address)
    );
    assert_eq!(membership.owner_of(&cx, old), Owner::Unknown);
}

#[test]
fn a_vm_that_left_the_list_and_is_silent_is_forgotten_with_its_incarnations() {
    let mut world = World::new(1, 2);
    world.run(TICKS_PER_MINUTE);
    world.nodes[1].is_up = false;
    let cx = Context::new(world.now, &world.cfg);
    world.nodes[0]
        .membership
        .apply_platform_list(&cx, Vec::new());
    assert_matches!(world.owner(0, 1), Owner::At(_));
    world.run(TICKS_PER_MINUTE);
    let cx = Context::new(world.now, &world.cfg);
    world.nodes[0]
        .membership
        .apply_platform_list(&cx, Vec::new());
    assert_eq!(world.owner(0, 1), Owner::Unknown);
    assert_eq!(world.nodes[0].membership.peers().count(), 0);
}
