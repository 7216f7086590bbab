//! Folds change tickets.

use crate::journal::state::FoldState;
use crate::tables::job::{AttemptPhase, AttemptRow, JobRow, StopCause};
use crate::tables::name::ObjectName;
use crate::tables::team::{RUN_RATIO_INITIAL, TeamRow, TeamSpec};
use crate::tables::ticket::{TicketRow, TicketSpec};

/// Most teams in one ticket.
pub const TICKET_TEAMS_MAX: usize = 256;

impl FoldState {
    pub(crate) fn apply_ticket(&mut self, offset: u64, ticket: &TicketSpec) -> Result<(), String> {
        if self.tickets.is_repeat(ticket) {
            return Ok(());
        }
        self.check_ticket(ticket)?;
        let mut trial = self.clone();
        trial.put_teams(offset, ticket);
        let overcommitted =
            |domain: &&ObjectName| trial.shortage(domain) > self.shortage(domain).max(0);
        if let Some(domain) = self.racks.domains().iter().find(overcommitted) {
            return Err(format!("the guarantees do not fit failure domain {domain}"));
        }
        *self = trial;
        self.tickets.put(TicketRow {
            number: ticket.number,
            author: ticket.author.clone(),
            teams: ticket.teams.iter().map(|spec| spec.team.clone()).collect(),
            at_ms: self.now_ms,
            offset,
            digest: ticket.digest(),
        });
        Ok(())
    }

    fn put_teams(&mut self, offset: u64, ticket: &TicketSpec) {
        for spec in &ticket.teams {
            let old = self.teams.find(&spec.team);
            let run_ratio = old.map_or(RUN_RATIO_INITIAL, |row| row.run_ratio);
            self.teams.put(TeamRow {
                spec: spec.clone(),
                ticket: ticket.number,
                run_ratio,
            });
            self.release_surplus_bindings(offset, &spec.team);
        }
    }

    /// Checks a ticket's number and content against what is in force.
    pub fn check_ticket(&self, ticket: &TicketSpec) -> Result<(), String> {
        if self.tickets.is_repeat(ticket) {
            return Ok(());
        }
        let next = self.tickets.highest + 1;
        if ticket.number == 0 || self.tickets.is_taken(ticket.number) {
            return Err(format!(
                "number {} is taken; the next free is {next}",
                ticket.number
            ));
        }
        if ticket.teams.is_empty() || ticket.teams.len() > TICKET_TEAMS_MAX {
            return Err(format!(
                "it touches {} teams; allowed are 1 to {TICKET_TEAMS_MAX}",
                ticket.teams.len()
            ));
        }
        for spec in &ticket.teams {
            let old = self.teams.find(&spec.team);
            if let Some(old) = old.filter(|old| old.ticket >= ticket.number) {
                return Err(format!(
                    "team {} stands at ticket {}; the next free is {next}",
                    spec.team, old.ticket
                ));
            }
            check_team(spec)?;
        }
        let mut names: Vec<&ObjectName> = ticket.teams.iter().map(|spec| &spec.team).collect();
        names.sort();
        match names.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => Err(format!("team {} stands twice", pair[0])),
            None => Ok(()),
        }
    }

    /// Turns guaranteed work above a lowered guarantee into borrowed work, least held first.
    fn release_surplus_bindings(&mut self, offset: u64, team: &ObjectName) {
        while let Some(index) = self.surplus_binding(team) {
            let span = self.teams.bindings[index].span;
            let affected: Vec<(ObjectName, AttemptRow)> = self
                .jobs
                .active()
                .filter(|(job, attempt)| job.spec.team == *team && attempt.guaranteed)
                .filter(|(_, attempt)| {
                    let in_same_rack =
                        |cell: &&crate::tables::cell::CellSpan| cell.rack == span.rack;
                    let mut cells = attempt.cells.iter().filter(in_same_rack);
                    cells.any(|cell| cell.mask() & span.mask() != 0)
                })
                .map(|(job, attempt)| (job.spec.id.clone(), attempt.clone()))
                .collect();
            if affected.is_empty() {
                break;
            }
            for (id, attempt) in affected {
                self.demote_to_borrowed(offset, &id, team, &attempt);
            }
        }
    }

    fn demote_to_borrowed(
        &mut self,
        offset: u64,
        id: &ObjectName,
        team: &ObjectName,
        attempt: &AttemptRow,
    ) {
        self.release_bindings(team, &attempt.cells);
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.find_mut(id) else {
            return;
        };
        job.record_event(
            now_ms,
            offset,
            "its team's guarantee was lowered; it runs on borrowed capacity",
        );
        if let Some(row) = job.attempt_mut() {
            row.guaranteed = false;
        }
        // It waits for cells that it has no more right to.
        if job
            .attempt()
            .is_some_and(|row| row.phase == AttemptPhase::Reclaiming)
        {
            self.stop_attempt(offset, id, StopCause::Reclaimed);
        }
    }

    fn surplus_binding(&self, team: &ObjectName) -> Option<usize> {
        let spec = &self.teams.find(team)?.spec;
        let bindings = self.teams.bindings.iter().enumerate();
        let bindings = bindings.filter(|(_, row)| row.team == *team);
        let surplus = bindings.filter(|(_, row)| {
            let domain = self.racks.row(row.span.rack).map(|rack| &rack.domain);
            let guarantee = spec.guarantees.iter().find(|guarantee| {
                Some(&guarantee.domain) == domain && guarantee.shape == row.span.shape
            });
            let count = guarantee.map_or(0, |guarantee| guarantee.count);
            domain.is_some_and(|domain| self.count_bound(team, domain, row.span.shape) > count)
        });
        let least = surplus.min_by_key(|(_, row)| row.held.count_ones());
        least.map(|(index, _)| index)
    }

    /// Returns the attempt of a job, if it has one.
    pub fn attempt_of(&self, id: &ObjectName) -> Option<&AttemptRow> {
        self.jobs.find(id).and_then(JobRow::attempt)
    }
}

fn check_team(spec: &TeamSpec) -> Result<(), String> {
    let team = &spec.team;
    if !(1..=1_000).contains(&spec.weight) {
        return Err(format!(
            "team {team}: weight {}; allowed are 1 to 1000",
            spec.weight
        ));
    }
    let mut kinds: Vec<_> = spec
        .guarantees
        .iter()
        .map(|guarantee| (&guarantee.domain, guarantee.shape))
        .collect();
    kinds.sort();
    if kinds.windows(2).any(|pair| pair[0] == pair[1]) {
        return Err(format!(
            "team {team}: a domain and shape stand twice in its guarantees"
        ));
    }
    let total = spec.guaranteed_accelerators();
    match total <= u64::from(spec.quota_accelerators) {
        true => Ok(()),
        false => Err(format!(
            "team {team}: guarantees of {total} accelerators are above its quota"
        )),
    }
}
