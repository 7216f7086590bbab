//! Tests of how the daemons read paths and queries.

use hemlockramp::daemons::request_path::{path_segments, query_pairs};

struct PathCase {
    uri: &'static str,
    segments: Option<&'static [&'static str]>,
    pairs: Option<&'static [(&'static str, &'static str)]>,
}

const CASES: [PathCase; 4] = [
    PathCase {
        uri: "/jobs/a%20b?kind=x+y&refused",
        segments: Some(&["jobs", "a b"]),
        pairs: Some(&[("kind", "x y"), ("refused", "")]),
    },
    PathCase {
        uri: "/requests/team/a/b+c",
        segments: Some(&["requests", "team", "a", "b+c"]),
        pairs: Some(&[]),
    },
    PathCase {
        uri: "/jobs/%zz?a=%f",
        segments: None,
        pairs: None,
    },
    PathCase {
        uri: "/jobs/%ff",
        segments: None,
        pairs: Some(&[]),
    },
];

#[test]
fn paths_and_queries_are_decoded() {
    for case in CASES {
        let uri = case.uri.parse().expect("a URI");
        let segments = path_segments(&uri);
        let wanted = case.segments.map(<[_]>::to_vec);
        assert_eq!(
            segments
                .as_deref()
                .map(|found| found.iter().map(String::as_str).collect()),
            wanted,
            "{}",
            case.uri
        );
        let pairs = query_pairs(&uri);
        let wanted = case.pairs.map(<[_]>::to_vec);
        let pairs = pairs.as_deref().map(|found| {
            let texts = found
                .iter()
                .map(|(name, value)| (name.as_str(), value.as_str()));
            texts.collect::<Vec<_>>()
        });
        assert_eq!(pairs, wanted, "{}", case.uri);
    }
}
