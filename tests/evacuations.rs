//! Tests of the table of evacuations: requests and listings that overtake each other.

use hemlockramp::tables::name::ObjectName;
use hemlockramp::work::model::evacuation::{EvacuationRequest, EvacuationTable};

/// A message about the failure domain `a`.
#[derive(Clone, Copy, Debug)]
enum Message {
    /// A record at an offset: evacuated or taken back.
    Record(u64, bool),
    /// A complete listing that holds the record of this offset, if any, and ends at the other.
    Listing(Option<u64>, u64),
}

struct TableCase {
    messages: &'static [Message],
    evacuated: bool,
}

/// Guards against an evacuation that an older answer of the store brings back, or takes back.
#[test]
fn the_newest_message_holds() {
    use Message::{Listing, Record};
    let cases = [
        TableCase {
            messages: &[Record(1, true)],
            evacuated: true,
        },
        TableCase {
            messages: &[Record(1, true), Record(2, false)],
            evacuated: false,
        },
        TableCase {
            messages: &[Record(1, true), Record(2, false), Record(3, true)],
            evacuated: true,
        },
        // The record of the end was deleted before it was read.
        TableCase {
            messages: &[Record(1, true), Listing(None, 5)],
            evacuated: false,
        },
        TableCase {
            messages: &[Listing(Some(1), 5)],
            evacuated: true,
        },
        // The listing was asked for before the record was appended.
        TableCase {
            messages: &[Record(5, true), Listing(None, 5)],
            evacuated: true,
        },
        TableCase {
            messages: &[Record(1, true), Record(2, false), Listing(Some(1), 2)],
            evacuated: false,
        },
        TableCase {
            messages: &[Listing(Some(1), 2), Listing(None, 9), Listing(Some(1), 2)],
            evacuated: false,
        },
    ];
    let domain = ObjectName::try_from("a").expect("a valid name");
    for case in cases {
        let mut table = EvacuationTable::default();
        for message in case.messages {
            let mut apply = |offset, evacuated| {
                let domain = domain.clone();
                table.apply(offset, EvacuationRequest { domain, evacuated });
            };
            match *message {
                Record(offset, evacuated) => apply(offset, evacuated),
                Listing(Some(offset), _) => apply(offset, true),
                Listing(None, end) => {
                    table.end_listing(&[], end);
                }
            }
        }
        let evacuated = table.evacuated().contains(&domain);
        assert_eq!(evacuated, case.evacuated, "{:?}", case.messages);
    }
}
