//! Where a unit's tasks go.
//!
//! Answers this pattern: gangs of large tasks beside swarms of small ones, on upstreams that
//! differ in room, rack and health. Small tasks fill upstreams that are in use already, so
//! that whole ones stay free for large gangs; a gang that slows down over racks goes into one
//! rack while any rack can hold it.

use crate::tables::name::ObjectName;
use crate::work::amount::ResourceAmount;

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
}

/// Chooses an upstream for each task of a unit; none if they do not all fit. The result holds
/// indexes into `open`.
pub fn place_unit(demand: &UnitDemand, open: &[OpenUpstream]) -> Option<Vec<usize>> {
    if let Some(rack) = &demand.data_rack {
        let there = fill(demand, open, |upstream| {
            upstream.rack.as_ref() == Some(rack)
        });
        if there.is_some() || !demand.any_rack {
            return there;
        }
    }
    if demand.same_rack && demand.count > 1 {
        let there = fill_one_rack(demand, open);
        if there.is_some() || !demand.may_spread {
            return there;
        }
    }
    fill(demand, open, |_| true)
}

/// The rack that is left with the least room, so that others stay whole.
fn fill_one_rack(demand: &UnitDemand, open: &[OpenUpstream]) -> Option<Vec<usize>> {
    let mut racks: Vec<&ObjectName> = open.iter().filter_map(|one| one.rack.as_ref()).collect();
    racks.sort_unstable();
    racks.dedup();
    let room = |rack: &ObjectName| -> u64 {
        let own = open.iter().filter(|one| one.rack.as_ref() == Some(rack));
        own.map(|one| one.free.count_of(&demand.need).min(demand.count as u64))
            .sum()
    };
    let mut fitting: Vec<(u64, &ObjectName)> = racks
        .into_iter()
        .map(|rack| (room(rack), rack))
        .filter(|(room, _)| *room >= demand.count as u64)
        .collect();
    fitting.sort();
    fitting.into_iter().find_map(|(_, rack)| {
        fill(demand, open, |upstream| {
            upstream.rack.as_ref() == Some(rack)
        })
    })
}

fn fill(
    demand: &UnitDemand,
    open: &[OpenUpstream],
    allowed: impl Fn(&OpenUpstream) -> bool,
) -> Option<Vec<usize>> {
    let mut order: Vec<usize> = (0..open.len())
        .filter(|&index| suits(demand, &open[index]) && allowed(&open[index]))
        .collect();
    order.sort_by(|&left, &right| {
        let (left, right) = (&open[left], &open[right]);
        let avoided = |one: &OpenUpstream| demand.avoid.contains(&one.name);
        avoided(left)
            .cmp(&avoided(right))
            .then(left.blame.total_cmp(&right.blame))
            .then(free_weight(left).cmp(&free_weight(right)))
            .then(left.name.cmp(&right.name))
    });
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

fn free_weight(upstream: &OpenUpstream) -> u64 {
    upstream.free.share_of(&upstream.capacity)
}

fn suits(demand: &UnitDemand, upstream: &OpenUpstream) -> bool {
    let labelled = demand
        .label
        .as_ref()
        .is_none_or(|label| upstream.labels.contains(label));
    labelled && room_on(demand, upstream) > 0
}

fn room_on(demand: &UnitDemand, upstream: &OpenUpstream) -> usize {
    let room = upstream.free.count_of(&demand.need);
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
