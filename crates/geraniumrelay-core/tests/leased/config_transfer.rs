//! Transfer of the configuration between entry VMs that the store does not serve.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use geraniumrelay_core::leased::EntryVm;
use geraniumrelay_core::leased::config_transfer::{
    ConfigDownload, ConfigUploads, DownloadEvent, Part, PartRequest,
};
use geraniumrelay_core::{Config, Context};

fn vm(last: u8) -> EntryVm {
    EntryVm(Ipv4Addr::new(10, 0, 0, last))
}

/// Virtual time and settings.
struct World {
    cfg: Config,
    now: Instant,
}

impl World {
    fn new() -> Self {
        Self {
            cfg: Config::default(),
            now: Instant::now(),
        }
    }

    fn cx(&self) -> Context<'_> {
        Context::new(self.now, &self.cfg)
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
    }
}

/// A download of a VM that lacks version 5 of `peers`, without the store.
fn begun(world: &World, peers: &[u8]) -> (ConfigDownload, PartRequest) {
    let mut download = ConfigDownload::new(vm(1));
    for &peer in peers {
        download.set_peer_version(vm(peer), 5, true);
    }
    let request = download.tick(&world.cx(), 4, false).unwrap();
    (download, request)
}

fn first_part(total: usize, data: Vec<u8>) -> Part {
    Part {
        version: 5,
        total,
        offset: 0,
        data,
    }
}

#[test]
fn a_configuration_arrives_whole_in_parts() {
    let world = World::new();
    let row: Vec<u8> = (0..200_000_u32).map(|i| i.to_le_bytes()[0]).collect();
    let (mut download, mut request) = begun(&world, &[2]);
    let mut uploads = ConfigUploads::default();
    let mut parts = 0;
    let received = loop {
        let requested = (request.version, request.offset);
        let part = uploads
            .part(&world.cx(), vm(1), (5, &row), requested)
            .unwrap();
        assert!(part.data.len() <= world.cfg.config_transfer.part_bytes);
        parts += 1;
        match download.on_part(&world.cx(), request.to, &part) {
            DownloadEvent::Request(next) => request = next,
            DownloadEvent::Complete { version, row, .. } => break (version, row),
            DownloadEvent::Unchanged => panic!("part {parts} was not accepted"),
        }
    };
    assert_eq!(received, (5, row));
    assert_eq!(parts, 4);
    assert!(uploads.is_empty());
}

#[test]
fn no_configuration_is_requested_while_the_store_provides_it() {
    let mut world = World::new();
    let mut download = ConfigDownload::new(vm(1));
    let grace = world.cfg.config_transfer.store_grace;
    // A new version each 0.3 s: this VM has the version before, again and again.
    for version in 5..50 {
        download.set_peer_version(vm(2), version, true);
        assert_eq!(download.tick(&world.cx(), version - 1, true), None);
        world.advance(Duration::from_millis(300));
    }
    // The store has no more answers: the wait for it ends.
    download.set_peer_version(vm(2), 50, true);
    assert_eq!(download.tick(&world.cx(), 49, true), None);
    world.advance(grace);
    let request = download.tick(&world.cx(), 49, true).unwrap();
    assert_eq!(request.to, vm(2));
}

#[test]
fn one_peer_is_asked_at_a_time_and_another_after_a_stall() {
    let mut world = World::new();
    let (mut download, first) = begun(&world, &[2, 3, 4]);
    assert_eq!(download.tick(&world.cx(), 4, false), None);
    world.advance(world.cfg.config_transfer.stall_timeout);
    let second = download.tick(&world.cx(), 4, false).unwrap();
    assert_ne!(second.to, first.to);
    // A part of the abandoned download is late.
    let late = first_part(10, vec![0; 10]);
    let event = download.on_part(&world.cx(), first.to, &late);
    assert_eq!(event, DownloadEvent::Unchanged);
}

#[test]
fn the_only_peer_with_the_version_is_asked_again() {
    let mut world = World::new();
    let (mut download, first) = begun(&world, &[2]);
    world.advance(world.cfg.config_transfer.stall_timeout);
    assert_eq!(download.tick(&world.cx(), 4, false), Some(first));
}

#[test]
fn vms_that_lack_the_same_version_ask_different_peers() {
    let world = World::new();
    let ask = |own: u8| {
        let mut download = ConfigDownload::new(vm(own));
        for peer in 100..110 {
            download.set_peer_version(vm(peer), 5, true);
        }
        download.tick(&world.cx(), 4, false).unwrap().to
    };
    let mut asked: Vec<EntryVm> = (1..11).map(ask).collect();
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked.len(), 10);
}

#[test]
fn a_peer_in_the_same_data_centre_is_asked_first() {
    let world = World::new();
    let mut download = ConfigDownload::new(vm(1));
    for peer in 100..110 {
        download.set_peer_version(vm(peer), 6, false);
    }
    download.set_peer_version(vm(2), 5, true);
    let request = download.tick(&world.cx(), 4, false).unwrap();
    assert_eq!(request.to, vm(2));
}

#[test]
fn a_download_ends_when_the_store_has_provided_the_version() {
    let world = World::new();
    let (mut download, request) = begun(&world, &[2]);
    assert_eq!(download.tick(&world.cx(), 5, true), None);
    let part = first_part(10, vec![0; 10]);
    let event = download.on_part(&world.cx(), request.to, &part);
    assert_eq!(event, DownloadEvent::Unchanged);
}

#[test]
fn a_download_ends_with_its_link() {
    let world = World::new();
    let (mut download, request) = begun(&world, &[2, 3]);
    download.remove_peer(request.to);
    let next = download.tick(&world.cx(), 4, false).unwrap();
    assert_ne!(next.to, request.to);
}

#[test]
fn a_newer_version_of_the_peer_restarts_the_download() {
    let world = World::new();
    let (mut download, request) = begun(&world, &[2]);
    let event = download.on_part(&world.cx(), request.to, &first_part(10, vec![1; 6]));
    assert_eq!(
        event,
        DownloadEvent::Request(PartRequest {
            to: vm(2),
            version: 5,
            offset: 6
        })
    );
    let row = [7; 8];
    let part = ConfigUploads::default().part(&world.cx(), vm(1), (6, &row), (5, 6));
    let event = download.on_part(&world.cx(), request.to, &part.unwrap());
    let DownloadEvent::Complete { version, row, .. } = event else {
        panic!("{event:?}");
    };
    assert_eq!((version, row), (6, vec![7; 8]));
}

#[test]
fn a_downloaded_version_that_can_not_be_used_is_not_downloaded_again() {
    let mut world = World::new();
    let (mut download, request) = begun(&world, &[2, 3]);
    let event = download.on_part(&world.cx(), request.to, &first_part(4, vec![0; 4]));
    assert!(matches!(event, DownloadEvent::Complete { .. }));
    world.advance(world.cfg.config_transfer.max_duration);
    assert_eq!(download.tick(&world.cx(), 4, false), None);
    download.set_peer_version(vm(2), 6, true);
    assert!(download.tick(&world.cx(), 4, false).is_some());
}

#[test]
fn a_part_that_does_not_follow_ends_the_download() {
    let max = Config::default().config_transfer.max_row_bytes;
    for wrong in [
        Part {
            offset: 3,
            ..first_part(10, vec![0; 4])
        },
        first_part(10, Vec::new()),
        first_part(3, vec![0; 4]),
        first_part(max + 1, vec![0; 4]),
    ] {
        let world = World::new();
        let (mut download, request) = begun(&world, &[2, 3]);
        let event = download.on_part(&world.cx(), request.to, &wrong);
        assert_eq!(event, DownloadEvent::Unchanged);
        let next = download.tick(&world.cx(), 4, false).unwrap();
        assert_ne!(next.to, request.to);
    }
}

#[test]
fn a_vm_uploads_to_a_limited_number_of_peers() {
    let mut world = World::new();
    let row = vec![0; 1 << 20];
    let mut uploads = ConfigUploads::default();
    let max = u8::try_from(world.cfg.config_transfer.max_uploads).unwrap();
    let mut ask = |world: &World, peer: u8, offset: usize| {
        let part = uploads.part(&world.cx(), vm(peer), (5, &row), (5, offset));
        part.is_some()
    };
    for peer in 0..max {
        assert!(ask(&world, peer, 0));
    }
    assert!(!ask(&world, max, 0));
    // Peers that download already go on.
    assert!(ask(&world, 0, 1 << 16));
    // A finished and an abandoned download make room.
    assert!(ask(&world, 0, (1 << 20) - 1));
    assert!(ask(&world, max, 0));
    world.advance(world.cfg.config_transfer.stall_timeout);
    assert!(ask(&world, max + 1, 0));
}

#[test]
fn an_offset_beyond_the_end_of_the_row_yields_an_empty_part() {
    let world = World::new();
    let part = ConfigUploads::default().part(&world.cx(), vm(1), (5, &[1, 2]), (5, 9));
    assert_eq!(part.unwrap().data, Vec::<u8>::new());
}
