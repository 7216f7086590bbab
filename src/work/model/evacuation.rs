//! Failure domains that operators have evacuated.

use crate::tables::name::ObjectName;

/// What an operator's record says about the evacuation of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The failure domain.
    pub domain: ObjectName,
    /// Whether it is evacuated from now on; otherwise it is taken back.
    pub evacuated: bool,
}

/// Failure domains in which nothing may be started until they are taken back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedDomains {
    /// Sorted.
    domains: Vec<ObjectName>,
}

impl EvacuatedDomains {
    /// Returns whether a failure domain is evacuated.
    pub fn contains(&self, domain: &ObjectName) -> bool {
        self.domains.binary_search(domain).is_ok()
    }

    /// Returns the number of evacuated domains.
    pub fn len(&self) -> usize {
        self.domains.len()
    }

    /// Returns whether no domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Returns the evacuated domains, sorted.
    pub fn iter(&self) -> impl Iterator<Item = &ObjectName> {
        self.domains.iter()
    }

    /// Applies a change. Returns whether it made a difference.
    pub fn apply(&mut self, change: EvacuationChange) -> bool {
        match (self.domains.binary_search(&change.domain), change.evacuated) {
            (Err(index), true) => self.domains.insert(index, change.domain),
            (Ok(index), false) => drop(self.domains.remove(index)),
            _ => return false,
        }
        true
    }
}

impl FromIterator<ObjectName> for EvacuatedDomains {
    fn from_iter<I: IntoIterator<Item = ObjectName>>(names: I) -> Self {
        let mut domains: Vec<ObjectName> = names.into_iter().collect();
        domains.sort_unstable();
        domains.dedup();
        Self { domains }
    }
}
