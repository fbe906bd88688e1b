//! Transfer of the configuration between entry VMs that the store does not serve.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::rc::Rc;
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

/// The request of a tick without the store.
fn tick(download: &mut ConfigDownload, world: &World, own_version: u64) -> Option<PartRequest> {
    download.tick(&world.cx(), own_version, false).request
}

/// A request for a part of a version, by a VM that has version 4.
fn request_for(version: u64, offset: usize) -> PartRequest {
    PartRequest {
        to: vm(2),
        version,
        offset,
        known: 4,
    }
}

/// A row of which only the size matters.
fn row(bytes: usize) -> Rc<[u8]> {
    vec![7; bytes].into()
}

/// A download of a VM that lacks version 5 of `peers`, without the store.
fn begun(world: &World, peers: &[u8]) -> (ConfigDownload, PartRequest) {
    let mut download = ConfigDownload::new(vm(1));
    for &peer in peers {
        download.set_peer_version(vm(peer), 5, true);
    }
    let request = tick(&mut download, world, 4).unwrap();
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
    let row: Rc<[u8]> = (0..200_000_u32).map(|i| i.to_le_bytes()[0]).collect();
    let (mut download, mut request) = begun(&world, &[2]);
    let mut uploads = ConfigUploads::default();
    let mut parts = 0;
    let received = loop {
        let part = uploads.part(&world.cx(), vm(1), (5, &row), &request);
        assert!(part.data.len() <= world.cfg.config_transfer.part_bytes);
        parts += 1;
        match download.on_part(&world.cx(), request.to, &part) {
            DownloadEvent::Request(next) => request = next,
            DownloadEvent::Complete { version, row, .. } => break (version, row),
            DownloadEvent::Unchanged => panic!("part {parts} was not accepted"),
        }
    };
    assert_eq!(received, (5, row.to_vec()));
    assert_eq!(parts, 4);
}

#[test]
fn no_configuration_is_requested_while_the_store_provides_it() {
    let mut world = World::new();
    let mut download = ConfigDownload::new(vm(1));
    let grace = world.cfg.config_transfer.store_grace;
    // A new version each 0.3 s: this VM has the version before, again and again.
    for version in 5..50 {
        download.set_peer_version(vm(2), version, true);
        assert_eq!(download.tick(&world.cx(), version - 1, true).request, None);
        world.advance(Duration::from_millis(300));
    }
    // The store has no more answers: the wait for it ends.
    download.set_peer_version(vm(2), 50, true);
    assert_eq!(download.tick(&world.cx(), 49, true).request, None);
    world.advance(grace);
    let request = download.tick(&world.cx(), 49, true).request.unwrap();
    assert_eq!(request.to, vm(2));
}

#[test]
fn one_peer_is_asked_at_a_time_and_another_after_a_stall() {
    let mut world = World::new();
    let (mut download, first) = begun(&world, &[2, 3, 4]);
    assert_eq!(tick(&mut download, &world, 4), None);
    world.advance(world.cfg.config_transfer.stall_timeout);
    let second = tick(&mut download, &world, 4).unwrap();
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
    assert_eq!(tick(&mut download, &world, 4), Some(first));
}

#[test]
fn vms_that_lack_the_same_version_ask_different_peers() {
    let world = World::new();
    let ask = |own: u8| {
        let mut download = ConfigDownload::new(vm(own));
        for peer in 100..110 {
            download.set_peer_version(vm(peer), 5, true);
        }
        tick(&mut download, &world, 4).unwrap().to
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
    let request = tick(&mut download, &world, 4).unwrap();
    assert_eq!(request.to, vm(2));
}

#[test]
fn a_download_ends_when_the_store_has_provided_the_version() {
    let world = World::new();
    let (mut download, request) = begun(&world, &[2]);
    assert_eq!(tick(&mut download, &world, 5), None);
    let part = first_part(10, vec![0; 10]);
    let event = download.on_part(&world.cx(), request.to, &part);
    assert_eq!(event, DownloadEvent::Unchanged);
}

#[test]
fn a_download_ends_with_its_link() {
    let world = World::new();
    let (mut download, request) = begun(&world, &[2, 3]);
    download.remove_peer(request.to);
    let next = tick(&mut download, &world, 4).unwrap();
    assert_ne!(next.to, request.to);
}

#[test]
fn a_peer_that_has_another_version_restarts_the_download() {
    let world = World::new();
    let (mut download, request) = begun(&world, &[2]);
    let event = download.on_part(&world.cx(), request.to, &first_part(10, vec![1; 6]));
    assert_eq!(
        event,
        DownloadEvent::Request(PartRequest {
            to: vm(2),
            version: 5,
            offset: 6,
            known: 4,
        })
    );
    let part = ConfigUploads::default().part(&world.cx(), vm(1), (6, &row(8)), &request_for(5, 6));
    let event = download.on_part(&world.cx(), request.to, &part);
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
    world.advance(Duration::from_secs(10));
    assert_eq!(tick(&mut download, &world, 4), None);
    download.set_peer_version(vm(2), 6, true);
    assert!(tick(&mut download, &world, 4).is_some());
}

#[test]
fn a_download_resumes_at_another_peer() {
    let mut world = World::new();
    let row = row(200_000);
    let mut uploads = ConfigUploads::default();
    let (mut download, first) = begun(&world, &[2, 3]);
    let part = uploads.part(&world.cx(), vm(1), (5, &row), &first);
    let event = download.on_part(&world.cx(), first.to, &part);
    assert!(matches!(event, DownloadEvent::Request(_)));
    world.advance(world.cfg.config_transfer.stall_timeout);
    let tick = download.tick(&world.cx(), 4, false);
    let received = part.data.len();
    assert_eq!(tick.stalled, Some((first.to, received)));
    let next = tick.request.unwrap();
    assert_ne!(next.to, first.to);
    assert_eq!((next.version, next.offset), (5, received));
}

#[test]
fn a_part_that_was_received_before_is_ignored() {
    let world = World::new();
    let (mut download, request) = begun(&world, &[2]);
    let part = first_part(10, vec![1; 6]);
    let event = download.on_part(&world.cx(), request.to, &part);
    assert!(matches!(event, DownloadEvent::Request(_)));
    let event = download.on_part(&world.cx(), request.to, &part);
    assert_eq!(event, DownloadEvent::Unchanged);
    let rest = Part {
        offset: 6,
        ..first_part(10, vec![2; 4])
    };
    let event = download.on_part(&world.cx(), request.to, &rest);
    assert!(matches!(event, DownloadEvent::Complete { .. }));
}

#[test]
fn another_peer_is_asked_at_once_after_a_refusal() {
    let mut world = World::new();
    let (mut download, first) = begun(&world, &[2, 3]);
    download.on_part(&world.cx(), first.to, &first_part(0, Vec::new()));
    let second = tick(&mut download, &world, 4).unwrap();
    assert_ne!(second.to, first.to);
    download.on_part(&world.cx(), second.to, &first_part(0, Vec::new()));
    assert_eq!(tick(&mut download, &world, 4), None);
    world.advance(world.cfg.config_transfer.stall_timeout);
    assert!(tick(&mut download, &world, 4).is_some());
}

#[test]
fn another_peer_is_asked_after_an_invalid_part() {
    let max = Config::default().config_transfer.max_row_bytes;
    for wrong in [
        Part {
            version: 4,
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
        let next = tick(&mut download, &world, 4).unwrap();
        assert_ne!(next.to, request.to);
    }
}

#[test]
fn a_vm_uploads_to_a_limited_number_of_peers() {
    let mut world = World::new();
    let row = row(1 << 20);
    let mut uploads = ConfigUploads::default();
    let max = u8::try_from(world.cfg.config_transfer.max_uploads).unwrap();
    let mut ask = |world: &World, peer: u8, offset: usize| {
        let part = uploads.part(&world.cx(), vm(peer), (5, &row), &request_for(5, offset));
        part.total > 0
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
    let part = ConfigUploads::default().part(&world.cx(), vm(1), (5, &row(2)), &request_for(5, 9));
    assert_eq!((part.total, part.data.len()), (2, 0));
}

/// Two of three peers that don't deliver were asked in turn for ever, and the third one never.
#[test]
fn each_peer_with_the_version_is_asked_in_the_end() {
    for own in 1..30 {
        for count in 2..9 {
            let mut world = World::new();
            let mut download = ConfigDownload::new(vm(own));
            let mut never: Vec<EntryVm> = (100..100 + count).map(vm).collect();
            for &peer in &never {
                download.set_peer_version(peer, 5, true);
            }
            for _ in 0..100 {
                let asked = tick(&mut download, &world, 4).unwrap().to;
                never.retain(|&peer| peer != asked);
                world.advance(world.cfg.config_transfer.stall_timeout);
            }
            assert_eq!(never, Vec::new(), "VM {own}, {count} peers");
        }
    }
}

/// With answers later than the stall time-out, each answer belonged to the request before.
#[test]
fn a_download_from_a_slow_only_peer_completes() {
    let mut world = World::new();
    let interval = Duration::from_millis(25);
    let delay = world.cfg.config_transfer.stall_timeout + 4 * interval;
    let row = row(200_000);
    let (mut download, first) = begun(&world, &[2]);
    let mut uploads = ConfigUploads::default();
    let mut under_way = vec![(world.now, first)];
    let end = world.now + Duration::from_mins(1);
    while world.now < end {
        world.advance(interval);
        while let Some(&(sent, request)) = under_way.first()
            && world.now >= sent + delay
        {
            under_way.remove(0);
            let part = uploads.part(&world.cx(), vm(1), (5, &row), &request);
            match download.on_part(&world.cx(), vm(2), &part) {
                DownloadEvent::Request(next) => under_way.push((world.now, next)),
                DownloadEvent::Complete { .. } => return,
                DownloadEvent::Unchanged => {}
            }
        }
        if let Some(request) = tick(&mut download, &world, 4) {
            under_way.push((world.now, request));
        }
    }
    panic!("not complete after a minute: {download:?}");
}

/// A peer whose first part is not accepted was asked again at each tick, for 64 kB each time.
#[test]
fn a_row_over_the_limit_is_not_requested_at_each_tick() {
    let mut world = World::new();
    let max = world.cfg.config_transfer.max_row_bytes;
    let (mut download, first) = begun(&world, &[2]);
    let mut next = Some(first);
    let mut requests = 0;
    let interval = Duration::from_millis(25);
    let ticks = 400;
    for _ in 0..ticks {
        if next.is_some() {
            requests += 1;
            let part = first_part(max + 1, vec![0; world.cfg.config_transfer.part_bytes]);
            download.on_part(&world.cx(), vm(2), &part);
        }
        world.advance(interval);
        next = tick(&mut download, &world, 4);
    }
    let stalls = (interval * ticks).div_duration_f64(world.cfg.config_transfer.stall_timeout);
    assert!(
        f64::from(requests) <= stalls + 1.0,
        "{requests} requests in 10 s"
    );
}

/// Each newer version of the peer threw the received parts away, so that no version arrived.
#[test]
fn a_download_completes_while_the_versions_of_its_peer_follow_one_another() {
    let mut world = World::new();
    // Two downloads share a link of 25 Mbit/s; a version follows each 0.5 s.
    let part_time = Duration::from_millis(42);
    let row = row(1 << 20);
    let (mut download, mut request) = begun(&world, &[2]);
    let mut uploads = ConfigUploads::default();
    let begin = world.now;
    while world.now < begin + Duration::from_secs(8) {
        world.advance(part_time);
        let elapsed = world.now.saturating_duration_since(begin);
        let version = 5 + u64::try_from(elapsed.as_millis() / 500).unwrap();
        download.set_peer_version(vm(2), version, true);
        let part = uploads.part(&world.cx(), vm(1), (version, &row), &request);
        match download.on_part(&world.cx(), vm(2), &part) {
            DownloadEvent::Request(next) => request = next,
            DownloadEvent::Complete { .. } => return,
            DownloadEvent::Unchanged => panic!("part was not accepted"),
        }
    }
    panic!("not complete after 8 s: {download:?}");
}

/// A peer whose answers take a while on a link of limited bandwidth, and whose versions change.
#[derive(Debug, Clone, Copy)]
struct SlowPeer {
    row_bytes: usize,
    bytes_per_s: u32,
    delay: Duration,
    version_interval: Duration,
}

impl SlowPeer {
    /// Time until a version is complete, and the number of bytes sent; `None` after a minute.
    fn download(self) -> Option<(Duration, usize)> {
        let mut world = World::new();
        let row = row(self.row_bytes);
        let (mut download, first) = begun(&world, &[2]);
        let mut uploads = ConfigUploads::default();
        let begin = world.now;
        let (mut link_free, mut sent) = (begin, 0);
        let mut requests = vec![first];
        let mut under_way = VecDeque::new();
        while world.now < begin + Duration::from_mins(1) {
            let age = world.now.saturating_duration_since(begin);
            let version =
                5 + u64::try_from(age.as_millis() / self.version_interval.as_millis()).unwrap();
            download.set_peer_version(vm(2), version, true);
            for request in requests.drain(..) {
                let part = uploads.part(&world.cx(), vm(1), (version, &row), &request);
                let size = u32::try_from(part.data.len()).unwrap();
                link_free =
                    link_free.max(world.now) + Duration::from_secs(1) * size / self.bytes_per_s;
                sent += part.data.len();
                under_way.push_back((link_free + self.delay, part));
            }
            world.advance(Duration::from_millis(25));
            while let Some((_, part)) = under_way.pop_front_if(|(at, _)| *at <= world.now) {
                match download.on_part(&world.cx(), vm(2), &part) {
                    DownloadEvent::Request(next) => requests.push(next),
                    DownloadEvent::Complete { .. } => {
                        return Some((world.now.saturating_duration_since(begin), sent));
                    }
                    DownloadEvent::Unchanged => {}
                }
            }
            requests.extend(tick(&mut download, &world, 4));
        }
        None
    }
}

/// Parts that took longer than the time-out were requested and sent again and again, and an upload
/// was forgotten before its peer asked for the next part.
#[test]
fn a_download_over_a_slow_link_completes_while_versions_follow_one_another() {
    let fast = SlowPeer {
        row_bytes: 200_000,
        bytes_per_s: 3_125_000,
        delay: Duration::from_millis(650),
        version_interval: Duration::from_millis(500),
    };
    let slow = SlowPeer {
        row_bytes: 1_000_000,
        bytes_per_s: 100_000,
        delay: Duration::from_millis(5),
        ..fast
    };
    let settled = SlowPeer {
        version_interval: Duration::from_hours(1),
        ..slow
    };
    for (peer, most) in [(fast, 5), (slow, 15), (settled, 15)] {
        let (took, sent) = peer.download().unwrap_or_else(|| panic!("never: {peer:?}"));
        println!("{took:?}, {sent} bytes: {peer:?}");
        assert!(took <= Duration::from_secs(most), "{took:?}: {peer:?}");
        assert!(sent <= 2 * peer.row_bytes, "{sent} bytes: {peer:?}");
    }
}
