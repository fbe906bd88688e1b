//! What happens when in a cut of a data centre.

use std::fmt;
use std::ops::Range;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use crate::proxy::Mode;
use crate::{DATA_CENTRES, FLEET, WORKERS, data_centre_of_vm, data_centre_of_worker};

/// Length of the cut, longer than workers that have left the list are remembered.
const CUT_MS: Range<u64> = 25_000..40_000;

/// Time after which the rows of workers without heartbeats are removed, in random order.
const ROWS_LAPSE_MS: Range<u64> = 4_400..4_800;

/// Time after the end of the cut at which a worker is in the list again.
const ROWS_RETURN_MS: Range<u64> = 0..2_000;

/// Time after the end of the cut at which one kind of links heals in one direction, and each of its links after it.
const HEAL_MS: Range<u64> = 0..1_200;
const LINK_HEAL_MS: Range<u64> = 0..300;

/// Time of a takeover before the workers beyond the cut are forgotten, and time from one after that to the end of the cut
/// and a little more.
const EARLY_KILL_MS: Range<u64> = 3_000..18_000;
const LATE_KILL_MS: Range<u64> = 200..4_000;

/// A link that a cut breaks.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Link {
    /// From a VM to the store.
    Store(usize),
    /// Connections from one VM to another.
    Peers(usize, usize),
    /// Calls from a VM to a worker.
    Calls(usize, usize),
    /// Replies to a VM from a worker.
    Replies(usize, usize),
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum Event {
    CutBegins,
    CutEnds,
    /// A link breaks (`true`) or heals.
    Link(Link, bool),
    /// The row of a worker is written (`true`) or removed.
    Row(usize, bool),
    /// The scheduler on the side with the store is killed.
    KillScheduler,
    /// A VM is paused.
    Pause(usize, Duration),
    /// A worker behind the cut restarts under its name.
    RestartWorker(usize),
    /// A worker starts in the last data centre.
    AddWorker,
}

/// A cut and the faults around it.
#[derive(Debug)]
pub(crate) struct Plan {
    /// The data centre that is cut off.
    data_centre: usize,
    lasts: Duration,
    pub(crate) store_mode: Mode,
    events: Vec<(Duration, Event)>,
}

impl Plan {
    /// Draws a plan; `data_centre` is cut off, or else any one.
    pub(crate) fn random(rng: &mut StdRng, data_centre: Option<usize>) -> Self {
        let drawn = rng.random_range(0..DATA_CENTRES.len());
        let mut plan = Self {
            data_centre: data_centre.unwrap_or(drawn),
            lasts: millis(rng, CUT_MS),
            store_mode: [Mode::Stall, Mode::DropAll][rng.random_range(0..2)],
            events: Vec::new(),
        };
        let heal = plan.lasts;
        plan.cut(rng, Duration::ZERO, heal);
        let has_second_cut = rng.random_bool(0.4);
        let second = heal + millis(rng, 1_500..3_500);
        let second_heal = second + millis(rng, 500..4_000);
        if has_second_cut {
            plan.cut(rng, second, second_heal);
        }
        let mut workers: Vec<_> = (0..WORKERS).filter(|&w| plan.is_cut_off(w)).collect();
        if rng.random_bool(0.4) {
            let at = millis(rng, 5_000..20_000);
            plan.add(at, Event::AddWorker);
            let is_cut_off = plan.is_cut_off(WORKERS);
            if is_cut_off {
                workers.push(WORKERS);
            } else {
                let listed = at + Duration::from_millis(300);
                plan.add(listed, Event::Row(WORKERS, true));
            }
        }
        for &worker in &workers {
            // A worker that starts during the cut has had no row.
            if worker < WORKERS {
                let at = millis(rng, ROWS_LAPSE_MS);
                plan.add(at, Event::Row(worker, false));
            }
            let mut at = heal + millis(rng, ROWS_RETURN_MS);
            if has_second_cut && at >= second {
                at = second_heal + millis(rng, ROWS_RETURN_MS);
            }
            plan.add(at, Event::Row(worker, true));
        }
        if rng.random_bool(0.4) {
            let at = millis(rng, EARLY_KILL_MS);
            plan.add(at, Event::KillScheduler);
        }
        if rng.random_bool(0.5) {
            let at = (heal + Duration::from_millis(500)).saturating_sub(millis(rng, LATE_KILL_MS));
            plan.add(at, Event::KillScheduler);
        }
        if rng.random_bool(0.4) {
            let at = (heal + Duration::from_millis(500)).saturating_sub(millis(rng, 0..1_000));
            let (vm, time) = (
                rng.random_range(0..FLEET.vms.into()),
                millis(rng, 200..2_000),
            );
            plan.add(at, Event::Pause(vm, time));
        }
        if rng.random_bool(0.4) {
            let at = heal.saturating_sub(millis(rng, 0..15_000));
            let worker = workers[rng.random_range(0..workers.len())];
            plan.add(at, Event::RestartWorker(worker.min(WORKERS - 1)));
        }
        plan.events.sort_by_key(|(at, _)| *at);
        plan
    }

    /// The same plan in which no scheduler is killed, the links between VMs heal at once, and the workers are in the list
    /// again late: a scheduler gets jobs from beyond the cut before it sees the workers there.
    pub(crate) fn with_early_links(mut self) -> Self {
        let heal = self.lasts;
        self.events
            .retain(|(_, event)| !matches!(event, Event::KillScheduler));
        let at_heal = heal..=heal + Duration::from_secs(2);
        for (at, event) in &mut self.events {
            if !at_heal.contains(at) {
                continue;
            }
            let after = at.saturating_sub(heal);
            match event {
                Event::Link(Link::Peers(..), false) => *at = heal + after / 10,
                Event::Row(_, true) => *at = heal + Duration::from_secs(1) + after / 4,
                _ => {}
            }
        }
        self.events.sort_by_key(|(at, _)| *at);
        self
    }

    pub(crate) fn events(&self) -> impl Iterator<Item = (Duration, Event)> {
        self.events.iter().copied()
    }

    /// Whether a worker is in the data centre that is cut off.
    pub(crate) fn is_cut_off(&self, worker: usize) -> bool {
        data_centre_of_worker(worker) == self.data_centre
    }

    /// Breaks all links of the data centre; each kind heals in each direction at another moment.
    fn cut(&mut self, rng: &mut StdRng, from: Duration, to: Duration) {
        self.add(from, Event::CutBegins);
        self.add(to, Event::CutEnds);
        for mut links in self.links() {
            let heals = to + millis(rng, HEAL_MS);
            for link in links.drain(..) {
                self.add(from, Event::Link(link, true));
                let at = heals + millis(rng, LINK_HEAL_MS);
                self.add(at, Event::Link(link, false));
            }
        }
    }

    /// The links that a cut breaks, by kind and direction.
    fn links(&self) -> Vec<Vec<Link>> {
        let vms = || 0..usize::from(FLEET.vms);
        let is_inside = |vm: usize| data_centre_of_vm(vm) == self.data_centre;
        let mut links = vec![
            vms()
                .filter(|&vm| is_inside(vm))
                .map(Link::Store)
                .collect::<Vec<_>>(),
        ];
        for outwards in [true, false] {
            let from = || vms().filter(move |&vm| is_inside(vm) == outwards);
            let peers = from().flat_map(|from| {
                let to = vms().filter(move |&to| is_inside(to) != outwards);
                to.map(move |to| Link::Peers(from, to))
            });
            links.push(peers.collect());
            // A worker that starts during the cut is on one of its sides as well.
            let pairs = || {
                from().flat_map(|vm| {
                    let workers = (0..=WORKERS).filter(move |&w| self.is_cut_off(w) != outwards);
                    workers.map(move |worker| (vm, worker))
                })
            };
            links.push(pairs().map(|(vm, w)| Link::Calls(vm, w)).collect());
            links.push(pairs().map(|(vm, w)| Link::Replies(vm, w)).collect());
        }
        links
    }

    fn add(&mut self, at: Duration, event: Event) {
        self.events.push((at, event));
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            lasts, store_mode, ..
        } = self;
        let name = DATA_CENTRES[self.data_centre];
        write!(
            f,
            "cut of {name} for {lasts:?}, {store_mode:?} at the store;"
        )?;
        let of_interest = self
            .events
            .iter()
            .filter(|(_, event)| !matches!(event, Event::Link(..)));
        for (at, event) in of_interest {
            write!(f, " {at:?} {event:?},")?;
        }
        Ok(())
    }
}

fn millis(rng: &mut StdRng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}
