//! Simulates generated workloads and prints the measures of the planner beside those of the
//! first-come-first-fit baseline.
//!
//! `replay [target] [guaranteed=PERCENT] [SEED...] [POLICY]`: POLICY is a JSON object of policy
//! settings that override those of the deployment. Seeds default to 1, 2 and 3.

use standins::replay::engine::{ReplayPlanner, replay};
use standins::replay::measures::ReplayMeasures;
use standins::replay::workload::{Deployment, lanka_rail, salal_bin, target_region};

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let seeds: Vec<u64> = words.iter().filter_map(|word| word.parse().ok()).collect();
    let seeds = match seeds.is_empty() {
        true => vec![1, 2, 3],
        false => seeds,
    };
    let target = words.iter().any(|word| word == "target");
    println!(
        "{:<14} {:>4} {:<8} {:>6} {:>5} {:>9} {:>9} {:>5} {:>9} {:>9} {:>9} {:>6} {:>6} {:>8} {:>8}",
        "deployment",
        "seed",
        "planner",
        "done",
        "open",
        "mean s",
        "p95 s",
        "late",
        "urg p95",
        "urg max",
        "reclaim",
        "frag",
        "evict",
        "lost h",
        "unserved"
    );
    let mut deployments = match target {
        true => vec![target_region()],
        false => vec![lanka_rail(), salal_bin()],
    };
    if let Some(percent) = words
        .iter()
        .find_map(|word| word.strip_prefix("guaranteed="))
    {
        let percent = percent
            .parse()
            .expect("guaranteed= takes a whole percentage");
        deployments
            .iter_mut()
            .for_each(|own| own.guaranteed_percent = percent);
    }
    if let Some(policy) = words.iter().find(|word| word.starts_with('{')) {
        deployments
            .iter_mut()
            .for_each(|own| override_policy(own, policy));
    }
    for deployment in &deployments {
        for seed in &seeds {
            for planner in [ReplayPlanner::Product, ReplayPlanner::Naive] {
                let jobs = deployment.generate_jobs(*seed);
                let figures = replay(deployment, &jobs, planner);
                print_row(deployment, *seed, planner, &figures);
            }
        }
    }
}

fn override_policy(deployment: &mut Deployment, policy: &str) {
    let mut merged = serde_json::to_value(&deployment.policy).expect("policy is JSON");
    let changes: serde_json::Value = serde_json::from_str(policy).expect("POLICY is JSON");
    for (key, value) in changes.as_object().into_iter().flatten() {
        merged[key] = value.clone();
    }
    deployment.policy = serde_json::from_value(merged).expect("POLICY has valid policy settings");
}

fn print_row(deployment: &Deployment, seed: u64, planner: ReplayPlanner, row: &ReplayMeasures) {
    let planner = format!("{planner:?}").to_lowercase();
    println!(
        "{:<14} {seed:>4} {planner:<8} {:>6} {:>5} {:>9.0} {:>9.0} {:>5} {:>9.1} {:>9.1} {:>9.1} {:>6.3} {:>6} {:>8.1} {:>8}",
        deployment.name,
        row.finished,
        row.unfinished,
        row.mean_s,
        row.p95_s,
        row.late,
        row.urgent_p95_s,
        row.urgent_max_s,
        row.reclaim_max_s,
        row.fragmentation,
        row.evictions,
        row.lost_hours,
        row.unserved_claims
    );
}
