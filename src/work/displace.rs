//! Which running work makes room for a higher claim.
//!
//! Answers this pattern: urgent work arrives while the pool is full of work that may wait.
//! Whole units are displaced, those that lose least first, and only as many as are needed.

use crate::work::amount::ResourceAmount;
use crate::work::place::{OpenUpstream, RoomClaim, UnitDemand, place_unit};

/// A unit that may be displaced.
#[derive(Clone, Debug)]
pub struct VictimUnit {
    /// Upstreams it is on, as indexes into the open ones, one entry a task.
    pub upstreams: Vec<usize>,
    /// What each of its tasks holds.
    pub need: ResourceAmount,
    /// Work that would have to be done again, in thousandths of a core x ms.
    pub lost: u64,
    /// Priority of its queue.
    pub priority: u32,
}

/// Chooses victims so that the unit fits, as indexes into `victims`; none if it cannot.
pub fn choose_victims(
    demand: &UnitDemand,
    claim: &RoomClaim,
    open: &[OpenUpstream],
    victims: &[&VictimUnit],
) -> Option<Vec<usize>> {
    let mut order: Vec<usize> = (0..victims.len()).collect();
    // Least important first, then what loses least for the room that it frees.
    order.sort_by_key(|&index| {
        let victim = victims[index];
        let freed = victim.need.weight_milli() * victim.upstreams.len() as u64;
        (
            std::cmp::Reverse(victim.priority),
            victim.lost / freed.max(1),
            victim.upstreams.len(),
        )
    });
    let mut room = open.to_vec();
    let mut chosen = Vec::new();
    for index in order {
        free_room(&mut room, victims[index]);
        chosen.push(index);
        if place_unit(demand, claim, &room).is_some() {
            return Some(spare_needless(demand, claim, open, victims, chosen));
        }
    }
    None
}

fn free_room(room: &mut [OpenUpstream], victim: &VictimUnit) {
    for &upstream in &victim.upstreams {
        room[upstream].free = room[upstream].free.plus(&victim.need);
    }
}

/// Takes back victims without whom the unit fits as well, the costliest first.
fn spare_needless(
    demand: &UnitDemand,
    claim: &RoomClaim,
    open: &[OpenUpstream],
    victims: &[&VictimUnit],
    mut chosen: Vec<usize>,
) -> Vec<usize> {
    for position in (0..chosen.len()).rev() {
        let mut room = open.to_vec();
        for (other, &index) in chosen.iter().enumerate() {
            if other != position {
                free_room(&mut room, victims[index]);
            }
        }
        if place_unit(demand, claim, &room).is_some() {
            chosen.remove(position);
        }
    }
    chosen
}
