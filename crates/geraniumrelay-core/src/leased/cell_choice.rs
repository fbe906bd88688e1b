//! Choice of the cell for a job, by the loads that the cells' schedulers report.
//!
//! Load pattern: demand differs between data centres, and many entry VMs learn the loads with the same
//! heartbeats. Until the next ones they send more jobs than the cell with the lowest load has room for, so
//! cells are drawn by lot.

use super::cells::{CellName, hash_of};
use super::names::JobId;

/// Load from which a cell has no free capacity, in percent of its capacity.
const FULL_LOAD_PERCENT: u32 = 100;

/// Room that also a full cell counts as having: its load changes until the job arrives.
const MIN_ROOM_PERCENT: u32 = 4;

/// Load that is reported for a cell without a usable worker.
const NO_CAPACITY: u32 = u32::MAX;

/// Upper limit of a cell's load in sums, in percent, so that one long queue does not decide for the whole data
/// centre.
const MAX_COUNTED_LOAD_PERCENT: u32 = 200;

/// Cost of crossing to another data centre, as a reduction of the free capacity there in percentage points. Between
/// two reports, the excess of a data centre with half more traffic than capacity adds about as much to each of
/// four other cells.
const CROSSING_COST_PERCENT: u32 = 15;

/// Load up to which a cell may have room for a job that would have to wait elsewhere, in percent: a full cell ends
/// a quarter of its tasks between two reports. With a limit of 95 % a tenth of the jobs waited beside free room at
/// nine tenths of the capacity.
const ROOM_LOAD_PERCENT: u32 = 122;

/// Maximum number of cells that leave a job to one that has not had it. Each takes 1 to 3 ms of a slack of
/// 90 ms or more.
const MAX_DECLINES: usize = 5;

/// A cell that may receive a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the cell.
    pub name: CellName,
    /// Processor in use and requested by queued tasks, in percent of the cell's capacity; `u32::MAX` without
    /// a usable worker.
    pub load: u32,
}

impl Candidate {
    fn free(&self) -> u32 {
        FULL_LOAD_PERCENT.saturating_sub(self.load)
    }

    fn room(&self) -> u32 {
        self.free() + MIN_ROOM_PERCENT
    }

    /// Free capacity for jobs of other data centres, less the cost of crossing.
    fn remote_room(&self) -> u32 {
        self.free().saturating_sub(CROSSING_COST_PERCENT)
    }
}

/// A job that needs a cell.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The job.
    pub id: JobId,
    /// Data centre of the entry VM.
    pub data_centre: &'a str,
    /// Data centre of the job's data, if it is known.
    pub data: Option<&'a str>,
    /// Cells that have left the job to another one because it would have had to wait, in this order.
    pub declined_by: &'a [CellName],
    /// Cells that have refused the job.
    pub refused_by: &'a [CellName],
}

/// The candidates of a request: those near it, and the others. Cells without a usable worker, and those that have
/// refused the job, are left out.
struct Split<'a> {
    near: Vec<&'a Candidate>,
    remote: Vec<&'a Candidate>,
    /// Whether the candidates are in several data centres.
    has_several_data_centres: bool,
}

impl<'a> Split<'a> {
    /// Near are the cells in the data centre of the job's data, else those in the entry VM's, else all.
    fn new(req: &Request<'_>, candidates: &'a [Candidate]) -> Self {
        let usable = || candidates.iter().filter(|c| c.load != NO_CAPACITY);
        let is_in = |c: &Candidate, name: &str| c.name.data_centre() == Some(name);
        let data = req.data.filter(|name| usable().any(|c| is_in(c, name)));
        let near = data.unwrap_or(req.data_centre);
        let first = candidates.first().map(|c| c.name.data_centre());
        let is_elsewhere = |c: &Candidate| Some(c.name.data_centre()) != first;
        let has_several_data_centres = candidates.iter().any(is_elsewhere);
        let (mut near, mut remote): (Vec<_>, Vec<_>) = usable().partition(|c| is_in(c, near));
        if near.is_empty() {
            std::mem::swap(&mut near, &mut remote);
        }
        let is_open = |c: &&Candidate| !req.refused_by.contains(&c.name);
        near.retain(is_open);
        remote.retain(is_open);
        Self {
            near,
            remote,
            has_several_data_centres,
        }
    }

    /// Without the cells that have declined the job.
    fn without_declined(mut self, req: &Request<'_>) -> Self {
        let is_open = |c: &&Candidate| !req.declined_by.contains(&c.name);
        self.near.retain(is_open);
        self.remote.retain(is_open);
        self
    }

    /// Whether a cell may have room for a job that would have to wait elsewhere.
    fn may_have_room(&self, candidate: &Candidate) -> bool {
        if self.has_several_data_centres {
            candidate.load <= ROOM_LOAD_PERCENT
        } else {
            candidate.load < FULL_LOAD_PERCENT
        }
    }

    /// Share of the jobs that leave the near cells: what exceeds the capacity of these, as far as the remote
    /// cells have room for it.
    fn leaving_share(&self) -> f64 {
        let load = |c: &&Candidate| u64::from(c.load.min(MAX_COUNTED_LOAD_PERCENT));
        let load: u64 = self.near.iter().map(load).sum();
        let cells = u64::try_from(self.near.len()).unwrap_or(u64::MAX);
        let excess = load.saturating_sub(cells.saturating_mul(FULL_LOAD_PERCENT.into()));
        let room = self.remote.iter().map(|c| u64::from(c.remote_room()));
        let leaving = excess.min(room.sum());
        #[expect(clippy::cast_precision_loss, reason = "sums of percentages")]
        let share = leaving as f64 / load.max(1) as f64;
        share
    }
}

/// Chooses the first cell for a job. `None` without candidates.
///
/// A job goes to a near cell, drawn in proportion to the room, unless it is drawn to leave: the near cells keep
/// as many jobs as they have capacity for, and the others are spread over the remote cells in proportion to their
/// free capacity less the cost of crossing.
pub fn choose(req: &Request<'_>, candidates: &[Candidate]) -> Option<CellName> {
    let split = Split::new(req, candidates);
    let id = req.id;
    if split.near.is_empty() {
        return draw(id, &split.remote, Candidate::room).or_else(|| draw_unusable(req, candidates));
    }
    let drawn = uniform(hash_of(&key(id, "leave")));
    if drawn <= split.leaving_share() {
        return draw(id, &split.remote, Candidate::remote_room);
    }
    draw(id, &split.near, Candidate::room)
}

/// Draws a cell where none has a usable worker, in the entry VM's data centre if possible: its workers answer soon
/// after a takeover.
fn draw_unusable(req: &Request<'_>, candidates: &[Candidate]) -> Option<CellName> {
    let is_open = |c: &&Candidate| !req.refused_by.contains(&c.name);
    let is_own = |c: &&Candidate| c.name.data_centre() == Some(req.data_centre);
    let (own, others): (Vec<_>, Vec<_>) = candidates.iter().filter(is_open).partition(is_own);
    draw(req.id, &own, Candidate::room).or_else(|| draw(req.id, &others, Candidate::room))
}

/// Whether a job that would have to wait in `cell` is to be left to another one. In a single data centre only the
/// first cell may leave it. Elsewhere each of up to [`MAX_DECLINES`] cells may leave it to one that has not had it;
/// a cell of another data centre may always give it back.
pub fn has_alternative(req: &Request<'_>, cell: &CellName, candidates: &[Candidate]) -> bool {
    if req.declined_by.contains(cell) {
        return false;
    }
    let declined_by = [req.declined_by, std::slice::from_ref(cell)].concat();
    let next = Request {
        declined_by: &declined_by,
        ..*req
    };
    let split = Split::new(&next, candidates);
    if !split.has_several_data_centres {
        return declined_by.len() == 1 && next_with_room(&next, split).is_some();
    }
    let is_remote = split.remote.iter().any(|c| c.name == *cell);
    let may_return = is_remote && returns_to(req, candidates).is_some();
    let may_go_on = declined_by.len() <= MAX_DECLINES;
    may_return || may_go_on && next_with_room(&next, split).is_some()
}

/// Chooses the next cell for a job that would have to wait where it was sent: a near cell with room, else a
/// remote one with room, drawn in proportion to the free capacity, else the first cell that has left it.
pub fn choose_alternative(req: &Request<'_>, candidates: &[Candidate]) -> Option<CellName> {
    let split = Split::new(req, candidates);
    if !split.has_several_data_centres {
        let open = split.without_declined(req).near;
        return draw(req.id, &open, Candidate::room).or_else(|| returns_to(req, candidates));
    }
    let may_go_on = req.declined_by.len() <= MAX_DECLINES;
    let next = may_go_on.then(|| next_with_room(req, split)).flatten();
    next.or_else(|| returns_to(req, candidates))
}

/// A cell that has not had the job and may have room for it, drawn from the near ones if possible, else from those in
/// the entry VM's data centre.
fn next_with_room(req: &Request<'_>, split: Split<'_>) -> Option<CellName> {
    let split = split.without_declined(req);
    let pick = |cells: &[&Candidate]| {
        let open = cells.iter().copied().filter(|c| split.may_have_room(c));
        draw(req.id, &open.collect::<Vec<_>>(), Candidate::room)
    };
    let is_own = |c: &&Candidate| c.name.data_centre() == Some(req.data_centre);
    let own: Vec<&Candidate> = split.remote.iter().copied().filter(is_own).collect();
    let near = pick(&split.near).or_else(|| pick(&own));
    near.or_else(|| pick(&split.remote))
}

/// The cell in which a job waits that no cell has room for: the first near one that has had it.
fn returns_to(req: &Request<'_>, candidates: &[Candidate]) -> Option<CellName> {
    let split = Split::new(req, candidates);
    let is_near = |name: &&CellName| split.near.iter().any(|c| c.name == **name);
    let is_candidate = |name: &&CellName| {
        !req.refused_by.contains(name) && candidates.iter().any(|c| c.name == **name)
    };
    let mut declined_by = req.declined_by.iter();
    let near = declined_by.clone().find(is_near);
    near.or_else(|| declined_by.find(is_candidate)).cloned()
}

/// Chooses the next cell for a job that a cell has refused because of overload: the one with most free capacity,
/// a near one among equals. A remote cell without free capacity is not chosen. In a single data centre the cell is
/// drawn in proportion to the room. Without any, the job goes back to the first near cell that
/// has left it.
pub fn choose_after_refusal(req: &Request<'_>, candidates: &[Candidate]) -> Option<CellName> {
    let split = Split::new(req, candidates);
    let home = split.near.clone();
    let split = split.without_declined(req);
    let is_same_data_centre = !split.has_several_data_centres;
    let Split { near, remote, .. } = split;
    let most = |cells: &[&Candidate]| cells.iter().map(|c| c.free()).max().unwrap_or(0);
    let (near_most, remote_most) = (most(&near), most(&remote));
    if remote_most > near_most {
        let best = remote.into_iter().filter(|c| c.free() == remote_most);
        return draw(req.id, &best.collect::<Vec<_>>(), Candidate::room);
    }
    let is_open = |c: &&Candidate| is_same_data_centre || c.free() == near_most;
    let best = near.into_iter().filter(is_open);
    let drawn = draw(req.id, &best.collect::<Vec<_>>(), Candidate::room);
    let is_near = |name: &CellName| home.iter().any(|c| c.name == *name);
    drawn.or_else(|| returns_to(req, candidates).filter(is_near))
}

/// Draws one of `candidates` in proportion to `weight`: the smallest of exponentially distributed values with
/// these rates, which derive from the job and the cell. Candidates of weight 0 are not drawn.
fn draw(id: JobId, candidates: &[&Candidate], weight: fn(&Candidate) -> u32) -> Option<CellName> {
    let value = |c: &Candidate| -uniform(hash_of(&key(id, &c.name.0))).ln() / f64::from(weight(c));
    let open = candidates.iter().filter(|c| weight(c) > 0);
    let drawn = open.min_by(|a, b| value(a).total_cmp(&value(b)));
    drawn.map(|c| c.name.clone())
}

fn key(id: JobId, text: &str) -> Vec<u8> {
    let mut bytes = id.0.to_le_bytes().to_vec();
    bytes.extend_from_slice(text.as_bytes());
    bytes
}

/// A number above 0 and up to 1, from the low 32 bits of a hash.
fn uniform(hash: usize) -> f64 {
    #[expect(clippy::cast_possible_truncation, reason = "the low bits are used")]
    let low = hash as u32;
    (f64::from(low) + 1.0) / (f64::from(u32::MAX) + 1.0)
}
