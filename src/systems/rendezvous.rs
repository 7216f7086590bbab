//! Rendezvous hashing: a hint on which host tries first.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::tables::name::ObjectName;

/// Returns the host with the highest weight for a subject; none without hosts.
///
/// Hosts that disagree on who is live cost a conflict in the log, never a fault.
pub fn rendezvous_owner<'a>(subject: &str, hosts: &'a [ObjectName]) -> Option<&'a ObjectName> {
    let seed = xxh3_64_with_seed(subject.as_bytes(), 0);
    hosts
        .iter()
        .max_by_key(|host| (xxh3_64_with_seed(host.as_str().as_bytes(), seed), *host))
}
