//! Workload generator: deployments, and job arrivals drawn from a seed.

use hemlockramp::journal::record::WorkerRecord;
use hemlockramp::systems::policy::PolicySettings;
use hemlockramp::tables::cell::CellShape;
use hemlockramp::tables::job::JobSpec;
use hemlockramp::tables::name::ObjectName;
use hemlockramp::tables::team::{TeamGuarantee, TeamSpec};
use hemlockramp::tables::worker::WorkerState;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Milliseconds per hour.
const HOUR_MS: f64 = 3_600_000.0;
/// Largest factor by which a declared run time is above or below the real one.
const MAX_ESTIMATE_ERROR: f64 = 10.0;
/// One job in this many is urgent.
const URGENT_ONE_IN: u32 = 20;
/// One job in this many starts a burst.
const BURST_ONE_IN: u32 = 60;
/// Accelerators that the jobs of a burst request together.
const BURST_ACCELERATORS: u32 = 256;
/// Minimum number of jobs in a burst.
const BURST_JOBS_MIN: u32 = 4;
/// Maximum number of jobs in a burst.
const BURST_JOBS_MAX: u32 = 100;
/// Period over which the jobs of a burst arrive, in ms.
const BURST_MS: u64 = 60_000;
/// One job in this many has a deadline.
const DEADLINE_ONE_IN: u32 = 4;

/// Size, policy and load of a simulated deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: &'static str,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of workers in all failure domains; each has 8 accelerators.
    pub workers: usize,
    /// Workers per rack.
    pub rack: usize,
    /// Number of teams.
    pub teams: usize,
    /// Period over which jobs arrive, in hours.
    pub hours: f64,
    /// Accelerator-hours that the jobs need, as a share of those available in these hours.
    pub load: f64,
    /// Mean run time of a job, in hours.
    pub run_hours: f64,
    /// Maximum number of accelerators of a gang.
    pub gang_max: u32,
    /// Share of the capacity that is guaranteed, in percent.
    pub guaranteed_percent: usize,
    /// Policy settings of the planner.
    pub policy: PolicySettings,
}

/// Generated job and its real run time.
#[derive(Clone, Debug)]
pub struct WorkloadJob {
    /// Arrival time, in ms from the start of the simulation.
    pub at_ms: u64,
    /// Job as submitted; its declared run time is an estimate.
    pub spec: JobSpec,
    /// Real run time, in ms.
    pub run_ms: u64,
}

/// Returns the Lanka Rail deployment: four failure domains, six workers per rack, and a policy
/// that weights fragmentation above completion.
pub fn lanka_rail() -> Deployment {
    Deployment {
        name: "lanka-rail",
        domains: 4,
        workers: 50,
        rack: 6,
        teams: 4,
        hours: 48.0,
        load: 0.85,
        run_hours: 1.0,
        gang_max: 32,
        guaranteed_percent: 50,
        policy: PolicySettings {
            completion_weight: 30,
            fragmentation_weight: 70,
            ..PolicySettings::default()
        },
    }
}

/// Returns the Salal Bin Works deployment: three failure domains, eight workers per rack, and a
/// policy that weights completion above fragmentation.
pub fn salal_bin() -> Deployment {
    Deployment {
        name: "salal-bin",
        domains: 3,
        workers: 50,
        rack: 8,
        teams: 4,
        hours: 48.0,
        load: 0.85,
        run_hours: 0.7,
        gang_max: 64,
        guaranteed_percent: 50,
        policy: PolicySettings {
            completion_weight: 70,
            fragmentation_weight: 30,
            ..PolicySettings::default()
        },
    }
}

/// Returns a region of the target size: one of six in the target deployment.
pub fn target_region() -> Deployment {
    Deployment {
        name: "target-region",
        domains: 3,
        workers: 2_333,
        rack: 8,
        teams: 37,
        hours: 12.0,
        load: 0.85,
        run_hours: 4.0,
        gang_max: 512,
        guaranteed_percent: 50,
        policy: PolicySettings::default(),
    }
}

/// Jobs of the same shape and count that arrive together.
#[derive(Clone, Debug, Default)]
struct Burst {
    left: u32,
    at_ms: u64,
    gang: (u32, u32),
}

impl Burst {
    /// Advances to the next job: it continues the current burst, starts a new one, or is
    /// independent (`left` is 0).
    fn next(&mut self, random: &mut ChaCha8Rng, deployment: &Deployment) {
        self.left = self.left.saturating_sub(1);
        if self.left > 0 || !random.random_ratio(1, BURST_ONE_IN) {
            return;
        }
        self.at_ms = (random.random_range(0.0..deployment.hours) * HOUR_MS) as u64;
        self.gang = deployment.gang(random);
        // Keeps the accelerators of a burst about equal whatever the size of its jobs.
        let size = self.gang.0 * self.gang.1;
        self.left = (BURST_ACCELERATORS / size).clamp(BURST_JOBS_MIN, BURST_JOBS_MAX);
    }
}

fn name(text: String) -> ObjectName {
    ObjectName::try_from(text).expect("made names are valid")
}

impl Deployment {
    /// Returns the journal records of all workers, spread evenly over the failure domains.
    pub fn worker_records(&self) -> Vec<WorkerRecord> {
        let records = (0..self.workers).map(|index| {
            let domain = index % self.domains;
            let place = index / self.domains;
            WorkerRecord {
                name: name(format!("w{index}")),
                domain: name(format!("d{domain}")),
                rack: name(format!("r{}", place / self.rack)),
                position: (place % self.rack) as u8,
                accelerators: 8,
                address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
                state: WorkerState::Live,
            }
        });
        records.collect()
    }

    /// Returns the teams. In each failure domain a team is guaranteed cells of 32 accelerators
    /// (half a rack of eight workers) and of 8 (a whole worker). Together the teams are
    /// guaranteed about `guaranteed_percent` of the capacity, half by default.
    pub fn team_specs(&self) -> Vec<TeamSpec> {
        let each = self.workers * self.guaranteed_percent / 100 / self.domains / self.teams;
        let specs = (0..self.teams).map(|team| {
            let mut guarantees = Vec::new();
            for domain in 0..self.domains {
                let wide = each / 4;
                let narrow = each - wide * 4;
                for (size, count) in [(32, wide), (8, narrow)] {
                    if count > 0 {
                        guarantees.push(TeamGuarantee {
                            domain: name(format!("d{domain}")),
                            shape: CellShape::try_from(size).expect("a shape"),
                            count: count as u32,
                        });
                    }
                }
            }
            TeamSpec {
                team: name(format!("team{team}")),
                guarantees,
                quota_accelerators: (self.workers * 8) as u32,
                weight: 100,
                max_waiting_jobs: 1_000_000,
                max_requests_in_flight: 1,
                may_borrow: true,
            }
        });
        specs.collect()
    }

    /// Generates the jobs from a seed, sorted by arrival time.
    pub fn generate_jobs(&self, seed: u64) -> Vec<WorkloadJob> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let capacity_hours = (self.workers * 8) as f64 * self.hours * self.load;
        let mut jobs = Vec::new();
        let mut used_hours = 0.0;
        let mut burst = Burst::default();
        while used_hours < capacity_hours {
            burst.next(&mut random, self);
            let job = self.generate_job(&mut random, jobs.len(), &burst);
            used_hours += job.run_ms as f64 / HOUR_MS * f64::from(job.spec.accelerators());
            jobs.push(job);
        }
        jobs.sort_by_key(|job| job.at_ms);
        jobs
    }

    fn generate_job(&self, random: &mut ChaCha8Rng, index: usize, burst: &Burst) -> WorkloadJob {
        let at_ms = match burst.left > 0 {
            true => burst.at_ms + random.random_range(0..BURST_MS),
            false => (random.random_range(0.0..self.hours) * HOUR_MS) as u64,
        };
        let (shape, count) = match burst.left > 0 {
            true => burst.gang,
            false => self.gang(random),
        };
        let team = random.random_range(0..self.teams);
        // Exponential distribution with mean `run_hours`, clamped to 10 s..24 h.
        let skew: f64 = random.random_range(0.0f64..1.0).max(1e-6);
        let run_ms = (self.run_hours * HOUR_MS * -skew.ln()).clamp(10_000.0, 24.0 * HOUR_MS) as u64;
        let estimate_error = MAX_ESTIMATE_ERROR.powf(random.random_range(-1.0..1.0));
        let urgent = random.random_ratio(1, URGENT_ONE_IN) && shape * count <= 8;
        let deadline = random.random_ratio(1, DEADLINE_ONE_IN);
        let spec = JobSpec {
            id: name(format!("j{index}")),
            team: name(format!("team{team}")),
            shape: CellShape::try_from(shape).expect("a shape"),
            count,
            domain: None,
            urgent,
            declared_ms: (run_ms as f64 * estimate_error) as u64,
            deadline_ms: deadline.then_some(run_ms * 2 + 600_000),
            max_attempts: 5,
            command: String::new(),
        };
        WorkloadJob {
            at_ms,
            spec,
            run_ms,
        }
    }

    /// Draws shape and count: mostly small jobs, some wide ones, few large gangs.
    fn gang(&self, random: &mut ChaCha8Rng) -> (u32, u32) {
        let (shape, count): (u32, u32) = match random.random_range(0..100) {
            0..=34 => (1, 1),
            35..=54 => (2, 1),
            55..=69 => (4, 1),
            70..=84 => (8, 1),
            85..=91 => (8, random.random_range(2..5)),
            92..=96 => (16, random.random_range(1..3)),
            97..=98 => (32, random.random_range(1..3)),
            _ => (32, (self.gang_max / 32).max(1)),
        };
        match shape * count > self.gang_max {
            true => (shape.min(self.gang_max), 1),
            false => (shape, count),
        }
    }
}
