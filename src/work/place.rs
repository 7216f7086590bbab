//! Where a unit's tasks go.
//!
//! Answers this pattern: gangs of large tasks beside swarms of small ones, on upstreams that
//! differ in room, rack and health. Small tasks fill upstreams that are in use already, so
//! that whole ones stay free for large gangs; a gang that slows down over racks goes into one
//! rack while any rack can hold it.

use crate::tables::name::ObjectName;
use crate::work::amount::ResourceAmount;
use crate::work::pace::{PaceWish, UpstreamPace};

/// An upstream that takes new work.
#[derive(Clone, Debug)]
pub struct OpenUpstream {
    /// Its name.
    pub name: ObjectName,
    /// Its rack, if it names one.
    pub rack: Option<ObjectName>,
    /// All its labels.
    pub labels: Vec<ObjectName>,
    /// What it has in all.
    pub capacity: ResourceAmount,
    /// What is free.
    pub free: ResourceAmount,
    /// Failures lately; fewer is better.
    pub blame: f64,
    /// How fast it works.
    pub pace: UpstreamPace,
    /// For whom its room is kept.
    pub reserved: Option<RoomClaim>,
}

/// Room kept for a unit. Units with a better claim may take it all the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoomClaim {
    /// The job.
    pub job: ObjectName,
    /// Unit of the job.
    pub unit: usize,
    /// How good its claim is; lower is better.
    pub rank: u32,
}

/// Returns how good a unit's claim to room is; lower is better. A team's guarantee holds
/// against all work beyond guarantees, also against that of urgent queues.
pub fn claim_rank(priority: u32, guaranteed: bool) -> u32 {
    2 * priority + u32::from(!guaranteed)
}

impl OpenUpstream {
    fn is_open_to(&self, claim: &RoomClaim) -> bool {
        let Some(reserved) = &self.reserved else {
            return true;
        };
        reserved == claim || reserved.rank > claim.rank
    }
}

/// What a unit asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnitDemand {
    /// Number of tasks.
    pub count: usize,
    /// What each needs.
    pub need: ResourceAmount,
    /// Label that the upstream must have.
    pub label: Option<ObjectName>,
    /// Rack that it should be in; a rack with the data.
    pub data_rack: Option<ObjectName>,
    /// Whether another rack than the data's may be taken now.
    pub any_rack: bool,
    /// Whether the tasks should share a rack.
    pub same_rack: bool,
    /// Whether they may spread over racks now.
    pub may_spread: bool,
    /// Most tasks on one upstream; 0 for any number.
    pub spread_max: usize,
    /// Tasks of the same step on upstreams already, one entry a task.
    pub siblings: Vec<ObjectName>,
    /// Upstreams to avoid where another will do.
    pub avoid: Vec<ObjectName>,
    /// What it asks of an upstream's pace.
    pub pace: PaceWish,
}

/// Chooses an upstream for each task of a unit; none if they do not all fit. The result holds
/// indexes into `open`.
pub fn place_unit(
    demand: &UnitDemand,
    claim: &RoomClaim,
    open: &[OpenUpstream],
) -> Option<Vec<usize>> {
    let search = PlaceSearch {
        demand,
        claim,
        open,
    };
    search.place()
}

/// Returns how many tasks of a unit may be on an upstream if all its room were free.
pub fn rooms_allowed(demand: &UnitDemand, claim: &RoomClaim, upstream: &OpenUpstream) -> usize {
    let avoided = demand.avoid.contains(&upstream.name);
    if !may_use(demand, claim, upstream) || avoided {
        return 0;
    }
    places_in(demand, upstream, &upstream.capacity)
}

/// One search for places.
struct PlaceSearch<'a> {
    demand: &'a UnitDemand,
    claim: &'a RoomClaim,
    open: &'a [OpenUpstream],
}

impl PlaceSearch<'_> {
    fn place(&self) -> Option<Vec<usize>> {
        let demand = self.demand;
        if let Some(rack) = &demand.data_rack {
            let there = self.fill(|upstream| upstream.rack.as_ref() == Some(rack));
            if there.is_some() || !demand.any_rack {
                return there;
            }
        }
        if demand.same_rack && demand.count > 1 {
            let there = self.fill_one_rack();
            if there.is_some() || !demand.may_spread {
                return there;
            }
        }
        self.fill(|_| true)
    }

    /// The rack that is left with the least room, so that others stay whole.
    fn fill_one_rack(&self) -> Option<Vec<usize>> {
        let wanted = self.demand.count as u64;
        let room = |upstream: &OpenUpstream| match self.suits(upstream) {
            true => (room_on(self.demand, upstream) as u64).min(wanted),
            false => 0,
        };
        let mut fitting = rack_rooms(self.open, room);
        fitting.retain(|rack| rack.room >= wanted);
        fitting.sort_by_key(|rack| rack.room);
        fitting
            .into_iter()
            .find_map(|rack| self.fill(|upstream| upstream.rack.as_ref() == Some(rack.rack)))
    }

    fn fill(&self, allowed: impl Fn(&OpenUpstream) -> bool) -> Option<Vec<usize>> {
        let (demand, open) = (self.demand, self.open);
        let suitable = (0..open.len())
            .filter(|&index| self.suits(&open[index]))
            .filter(|&index| allowed(&open[index]));
        if demand.count == 1 {
            let best = suitable.min_by_key(|&index| (place_key(demand, &open[index]), index));
            return best.map(|index| vec![index]);
        }
        let mut order: Vec<usize> = suitable.collect();
        order.sort_by_cached_key(|&index| (place_key(demand, &open[index]), index));
        let mut chosen = Vec::with_capacity(demand.count);
        for index in order {
            let room = room_on(demand, &open[index]).min(demand.count - chosen.len());
            chosen.extend(std::iter::repeat_n(index, room));
            if chosen.len() == demand.count {
                return Some(chosen);
            }
        }
        None
    }

    fn suits(&self, upstream: &OpenUpstream) -> bool {
        may_use(self.demand, self.claim, upstream) && room_on(self.demand, upstream) > 0
    }
}

/// How good a place is; smaller is better.
type PlaceKey = (bool, u64, u64, u64);

/// Parts of a failure that blame is counted in when places are compared.
const BLAME_PARTS: f64 = 4.0;

/// Upstreams without failures first, then those of the right pace, then those with the least
/// room, so that whole ones stay free.
fn place_key(demand: &UnitDemand, upstream: &OpenUpstream) -> PlaceKey {
    let avoided = demand.avoid.contains(&upstream.name);
    let blame = (upstream.blame * BLAME_PARTS) as u64;
    let pace = upstream.pace.rank(demand.pace);
    (
        avoided,
        blame,
        pace,
        upstream.free.total_share(&upstream.capacity),
    )
}

/// Returns whether some rack could hold the whole unit if it were empty.
pub fn fits_a_rack(demand: &UnitDemand, open: &[OpenUpstream]) -> bool {
    let wanted = demand.count as u64;
    let room = |upstream: &OpenUpstream| upstream.capacity.fit_count(&demand.need).min(wanted);
    rack_rooms(open, room)
        .into_iter()
        .any(|rack| rack.room >= wanted)
}

/// A rack with the number of tasks that it holds.
struct RackRoom<'a> {
    room: u64,
    rack: &'a ObjectName,
}

fn rack_rooms(open: &[OpenUpstream], room: impl Fn(&OpenUpstream) -> u64) -> Vec<RackRoom<'_>> {
    let mut rooms: Vec<RackRoom<'_>> = Vec::new();
    for upstream in open {
        let Some(rack) = &upstream.rack else { continue };
        match rooms.binary_search_by(|row| row.rack.cmp(rack)) {
            Ok(index) => rooms[index].room += room(upstream),
            Err(index) => {
                let room = room(upstream);
                rooms.insert(index, RackRoom { room, rack });
            }
        }
    }
    rooms
}

/// Returns whether a unit may be on an upstream, whatever its room.
fn may_use(demand: &UnitDemand, claim: &RoomClaim, upstream: &OpenUpstream) -> bool {
    let label = demand.label.as_ref();
    label.is_none_or(|label| upstream.labels.contains(label)) && upstream.is_open_to(claim)
}

fn room_on(demand: &UnitDemand, upstream: &OpenUpstream) -> usize {
    places_in(demand, upstream, &upstream.free)
}

/// Returns how many tasks of a unit fit into an amount of an upstream's room.
fn places_in(demand: &UnitDemand, upstream: &OpenUpstream, amount: &ResourceAmount) -> usize {
    let room = amount.fit_count(&demand.need);
    let room = usize::try_from(room).unwrap_or(usize::MAX);
    if demand.spread_max == 0 {
        return room;
    }
    let here = demand
        .siblings
        .iter()
        .filter(|name| **name == upstream.name);
    room.min(demand.spread_max.saturating_sub(here.count()))
}
