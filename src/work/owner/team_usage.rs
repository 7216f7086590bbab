//! Usage of teams and urgent work, compared with the teams' guarantees.

use crate::tables::name::ObjectName;
use crate::work::load::fair_share::{ShareLevel, TeamHolding};
use crate::work::model::amount::ResourceAmount;
use crate::work::owner::PoolOwner;
use crate::work::owner::unit_state::{MemberPhase, MemberState};
use crate::work::owner::work_counts::WorkKind;
use crate::work::placing::placement::claim_rank;

/// Accelerators held by a team's urgent jobs.
pub(super) struct TeamUsage {
    team: ObjectName,
    held: u64,
}

/// Share levels of the teams with open work.
#[derive(Default)]
pub(super) struct TeamShares {
    /// Sorted by team.
    levels: Vec<(ObjectName, ShareLevel)>,
}

impl TeamShares {
    /// Returns a team's level; callers without a team hold no share.
    pub(super) fn level(&self, team: Option<&ObjectName>) -> ShareLevel {
        let found = team.and_then(|team| {
            let row = self.levels.binary_search_by(|(other, _)| other.cmp(team));
            row.ok()
        });
        found.map_or(ShareLevel::default(), |index| self.levels[index].1)
    }
}

impl PoolOwner {
    /// Returns how much each team with open work holds against its share of all upstreams.
    pub(super) fn team_shares(&self) -> TeamShares {
        let mut teams: Vec<TeamUsage> = Vec::new();
        for job in 0..self.jobs.len() {
            if let Some(team) = &self.jobs[job].record.team {
                add_usage(&mut teams, team, self.held_accelerators(job));
            }
        }
        let reports = self.upstreams.iter().filter_map(|one| one.report.as_ref());
        let accelerators = reports.map(|report| report.capacity.accelerators).sum();
        let open = teams.len() as u64;
        let level = |row: TeamUsage| {
            let holding = TeamHolding {
                held: row.held,
                guaranteed: self.config.guaranteed(&row.team),
            };
            (row.team, holding.level(accelerators, open))
        };
        let levels: Vec<_> = teams.into_iter().map(level).collect();
        let above = levels
            .iter()
            .filter(|(_, level)| *level > ShareLevel::Within);
        metrics::gauge!("hemlockramp_teams_above_share").set(above.count() as f64);
        TeamShares { levels }
    }

    /// Returns the usage of each team's urgent jobs, sorted by team.
    pub(super) fn team_usage(&self) -> Vec<TeamUsage> {
        let mut teams: Vec<TeamUsage> = Vec::new();
        for job in 0..self.jobs.len() {
            let Some(team) = &self.jobs[job].record.team else {
                continue;
            };
            if self.rule(job).priority != 0 {
                continue;
            }
            add_usage(&mut teams, team, self.held_accelerators(job));
        }
        teams
    }

    /// Returns the claim rank of each job's running work. Of a team's urgent jobs, those accepted
    /// first count against its guarantee first.
    pub(super) fn running_ranks(&self) -> Vec<u32> {
        let mut order: Vec<usize> = (0..self.jobs.len()).collect();
        order.sort_by_key(|&job| self.jobs[job].record.accepted_ms);
        let mut teams: Vec<TeamUsage> = Vec::new();
        let mut ranks = vec![0; self.jobs.len()];
        for job in order {
            let priority = self.rule(job).priority;
            let within_guarantee = priority == 0 && self.add_within_guarantee(job, &mut teams);
            ranks[job] = claim_rank(priority, within_guarantee);
        }
        ranks
    }

    /// Adds a job's accelerators to its team's usage; returns whether the guarantee still covers
    /// them.
    fn add_within_guarantee(&self, job: usize, teams: &mut Vec<TeamUsage>) -> bool {
        let Some(team) = &self.jobs[job].record.team else {
            return false;
        };
        let held = add_usage(teams, team, self.held_accelerators(job));
        held <= self.config.guaranteed(team)
    }

    /// Returns whether an urgent job fits into its team's guarantee, beside the team's other urgent
    /// jobs.
    pub(super) fn is_guaranteed(&self, job: usize, teams: &[TeamUsage]) -> bool {
        let Some(team) = &self.jobs[job].record.team else {
            return false;
        };
        let row = teams.binary_search_by(|row| row.team.cmp(team));
        let held = row.map_or(0, |index| teams[index].held);
        let others = held.saturating_sub(self.held_accelerators(job));
        let wanted = self.jobs[job].record.spec.first_step_accelerators();
        others + wanted <= self.config.guaranteed(team)
    }

    /// Returns the capacity that urgent jobs hold in a pool.
    pub(super) fn urgent_usage(&self, pool: &ObjectName) -> ResourceAmount {
        let urgent = |job: &usize| {
            let rule = self.rule(*job);
            rule.priority == 0 && rule.pool == *pool
        };
        (0..self.jobs.len())
            .filter(urgent)
            .fold(ResourceAmount::default(), |sum, job| {
                sum.plus(&self.held(job))
            })
    }

    fn held_accelerators(&self, job: usize) -> u64 {
        self.held(job).accelerators
    }

    /// Returns the capacity that a job holds on upstreams.
    fn held(&self, job: usize) -> ResourceAmount {
        let state = &self.jobs[job];
        self.counts.add(WorkKind::SearchStep, state.units.len());
        let placed = |member: &&MemberState| member.phase != MemberPhase::Unplaced;
        let of_unit = |unit: usize| {
            let members = state.units[unit].members.iter().filter(placed).count() as u64;
            state.step(unit).need.times(members)
        };
        (0..state.units.len())
            .map(of_unit)
            .fold(ResourceAmount::default(), |sum, held| sum.plus(&held))
    }
}

/// Adds accelerators to a team's usage; returns the new total.
fn add_usage(teams: &mut Vec<TeamUsage>, team: &ObjectName, held: u64) -> u64 {
    let index = match teams.binary_search_by(|row| row.team.cmp(team)) {
        Ok(index) => index,
        Err(index) => {
            let team = team.clone();
            teams.insert(index, TeamUsage { team, held: 0 });
            index
        }
    };
    teams[index].held += held;
    teams[index].held
}
