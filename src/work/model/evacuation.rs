//! Failure domains that operators evacuate, as their records in the store tell.

use crate::tables::name::ObjectName;

/// What an operator's record says about the evacuation of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRequest {
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
}

impl FromIterator<ObjectName> for EvacuatedDomains {
    fn from_iter<I: IntoIterator<Item = ObjectName>>(names: I) -> Self {
        let mut domains: Vec<ObjectName> = names.into_iter().collect();
        domains.sort_unstable();
        domains.dedup();
        Self { domains }
    }
}

/// Newest known request for one failure domain.
#[derive(Clone, Debug)]
struct DomainRow {
    domain: ObjectName,
    /// Offset of the request in its stream.
    offset: u64,
    evacuated: bool,
}

/// The newest request for each failure domain, from reads and listings that overtake each other.
///
/// A domain that is taken back keeps its row, so that an older listing does not evacuate it again.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    /// Sorted by domain.
    rows: Vec<DomainRow>,
}

impl EvacuationTable {
    /// Applies a request that stands at `offset`, unless a newer one for its domain is known. Returns
    /// whether the evacuated domains have changed.
    pub fn apply(&mut self, offset: u64, request: EvacuationRequest) -> bool {
        let EvacuationRequest { domain, evacuated } = request;
        match self.rows.binary_search_by(|row| row.domain.cmp(&domain)) {
            Ok(index) if self.rows[index].offset > offset => false,
            Ok(index) => {
                let row = &mut self.rows[index];
                row.offset = offset;
                std::mem::replace(&mut row.evacuated, evacuated) != evacuated
            }
            Err(index) => {
                let row = DomainRow {
                    domain,
                    offset,
                    evacuated,
                };
                self.rows.insert(index, row);
                evacuated
            }
        }
    }

    /// Takes back the domains that a complete listing lacks. The listing shows the stream at the offset
    /// `end` or later. Returns whether the evacuated domains have changed.
    pub fn end_listing(&mut self, listed: &[ObjectName], end: u64) -> bool {
        let mut changed = false;
        for row in &mut self.rows {
            if row.offset < end && !listed.contains(&row.domain) {
                // An older listing must not bring the request back.
                row.offset = end - 1;
                changed |= std::mem::replace(&mut row.evacuated, false);
            }
        }
        changed
    }

    /// Returns the domains that are evacuated now.
    pub fn evacuated(&self) -> EvacuatedDomains {
        let evacuated = self.rows.iter().filter(|row| row.evacuated);
        evacuated.map(|row| row.domain.clone()).collect()
    }
}
