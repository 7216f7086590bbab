//! Tests of the request router against fake runners with mismatched, late, truncated and missing
//! responses.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dropshot::HttpServer;
use hemlockramp::routing::connection::{RunnerRequest, RunnerResponse};
use hemlockramp::routing::router::{RequestRouter, SendOptions};
use hemlockramp::routing::verdict::{CallFailure, RunVerdict};
use hemlockramp::settings::gateway::{RawRequestSettings, RequestSettings};
use hemlockramp::wire::log::HostState;
use hemlockramp::wire::peer::RunnerView;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standins::fault::{FaultMode, FaultSetting};
use standins::runner::{Runner, SharedRunner, start_runner};
use support::fold::name;

/// Number of request slots of a runner.
const SLOTS: usize = 8;
const SEED: u64 = 0x7265_7175;
/// Runners that one request may crash: three, and fewer than three more, which is the platform's
/// bound for tasks.
const CRASHED_RUNNERS_MAX: usize = 5;

/// Fake runners with one router for each entry host.
struct RouterBench {
    runners: Vec<SharedRunner>,
    views: Vec<RunnerView>,
    routers: Vec<RequestRouter>,
    _servers: Vec<HttpServer<SharedRunner>>,
}

impl RouterBench {
    fn start(runners: usize, hosts: usize) -> Self {
        let mut bench = Self {
            runners: Vec::new(),
            views: Vec::new(),
            routers: Vec::new(),
            _servers: Vec::new(),
        };
        for index in 0..runners {
            let runner: SharedRunner = Arc::new(Runner::new(SLOTS));
            let any = "127.0.0.1:0".parse().expect("an address");
            let server = start_runner(Arc::clone(&runner), any).expect("runner");
            bench.views.push(RunnerView {
                name: name(&format!("run{index}")),
                address: server.local_addr(),
                state: HostState::Live,
            });
            bench.runners.push(runner);
            bench._servers.push(server);
        }
        for _ in 0..hosts {
            let raw = RawRequestSettings {
                attempt_ms: 300,
                probe_idle_ms: 400,
                probe_ms: 200,
                ..RawRequestSettings::default()
            };
            let settings = RequestSettings::try_from(raw).expect("settings");
            let router = RequestRouter::start(settings);
            router.refresh(&bench.views, hosts);
            bench.routers.push(router);
        }
        bench
    }

    fn fault(&self, runner: usize, mode: FaultMode, ms: u64, count: u64) {
        self.runners[runner]
            .fault
            .set(FaultSetting { mode, ms, count });
    }

    fn effects(&self, path: &str) -> usize {
        let effects = self.runners.iter().flat_map(|runner| runner.effects());
        effects.filter(|effect| effect.path == path).count()
    }
}

async fn send(
    router: &RequestRouter,
    path: &str,
    idempotent: bool,
    limit_ms: u64,
) -> Result<RunnerResponse, CallFailure> {
    let request = RunnerRequest {
        id: format!("id-{path}"),
        path: path.to_owned(),
        content_type: None,
        body: Bytes::from(format!("body of {path}")),
    };
    let deadline = tokio::time::Instant::now() + Duration::from_millis(limit_ms);
    let options = SendOptions {
        idempotent,
        deadline,
    };
    router.send(&request, options).await
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_or_mismatched_responses_are_never_returned() {
    struct Case {
        name: &'static str,
        mode: FaultMode,
    }
    let cases = [
        Case {
            name: "crossed",
            mode: FaultMode::Cross,
        },
        Case {
            name: "truncated",
            mode: FaultMode::Truncate,
        },
        Case {
            name: "lost",
            mode: FaultMode::LoseAnswer,
        },
    ];
    for case in cases {
        let bench = RouterBench::start(1, 1);
        let router = &bench.routers[0];
        bench.fault(0, case.mode, 0, 1);
        let once = send(router, "once", false, 500).await.expect_err(case.name);
        assert_eq!(
            once.verdict,
            RunVerdict::MayHaveRun,
            "{}: {once}",
            case.name
        );
        assert_eq!(bench.effects("once"), 1, "{}: ran once", case.name);
        bench.fault(0, case.mode, 0, 1);
        let again = send(router, "again", true, 2_000).await.expect(case.name);
        assert_eq!(again.body, "body of again", "{}", case.name);
        assert_eq!(bench.effects("again"), 2, "{}: retried", case.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_response_is_not_delivered_to_another_request() {
    let bench = RouterBench::start(1, 1);
    let router = &bench.routers[0];
    send(router, "warm", true, 1_000).await.expect("warm");
    bench.fault(0, FaultMode::Slow, 400, 1);
    let late = send(router, "late", false, 100).await.expect_err("late");
    assert_eq!(late.verdict, RunVerdict::MayHaveRun);
    for index in 0..20 {
        let path = format!("next{index}");
        let next = send(router, &path, false, 2_000).await.expect("next");
        assert_eq!(next.body, format!("body of {path}"));
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_silent_runner_delays_but_does_not_fail_idempotent_requests() {
    let bench = RouterBench::start(2, 1);
    bench.fault(0, FaultMode::Silent, 0, 0);
    for index in 0..10 {
        let path = format!("r{index}");
        let response = send(&bench.routers[0], &path, true, 3_000)
            .await
            .expect("a response");
        assert_eq!(response.body, format!("body of {path}"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_idle_connections_are_dropped_while_new_ones_work() {
    let bench = RouterBench::start(1, 1);
    let router = &bench.routers[0];
    let sends = (0..5).map(|index| {
        let path = format!("r{index}?work_ms=50");
        async move { send(router, &path, true, 2_000).await.expect("a response") }
    });
    futures_util::future::join_all(sends).await;
    assert!(
        router.pool().idle_count() >= 2,
        "several connections are idle"
    );
    bench.runners[0].health_fault.set(FaultSetting {
        mode: FaultMode::Silent,
        ms: 0,
        count: 0,
    });
    // A connection is probed after half of 400 ms of idleness; the sweep runs every 250 ms and a
    // probe times out after 200 ms.
    let until = Instant::now() + Duration::from_secs(3);
    while router.pool().idle_count() > 0 && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(router.pool().idle_count(), 0);
    let response = send(router, "after", false, 1_000)
        .await
        .expect("a new connection works");
    assert_eq!(response.body, "body of after");
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_are_never_exceeded_and_all_requests_run_once() {
    let bench = RouterBench::start(2, 3);
    let sends = (0..300).map(|index| {
        let router = &bench.routers[index % 3];
        async move { send(router, &format!("r{index}?work_ms=10"), false, 20_000).await }
    });
    for (index, result) in futures_util::future::join_all(sends)
        .await
        .into_iter()
        .enumerate()
    {
        result.unwrap_or_else(|failure| panic!("r{index}: {failure}"));
        assert_eq!(bench.effects(&format!("r{index}")), 1);
    }
    for runner in &bench.runners {
        assert!(runner.peak_busy() <= SLOTS);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_runner_gets_no_new_requests_and_none_are_lost() {
    let bench = RouterBench::start(2, 1);
    let router = &bench.routers[0];
    let sends = (0..200).map(|index| async move {
        tokio::time::sleep(Duration::from_millis(5 * index)).await;
        send(router, &format!("r{index}?work_ms=5"), false, 5_000).await
    });
    let leave = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        bench.runners[0].leave();
        tokio::time::sleep(Duration::from_millis(100)).await;
        bench.runners[0].effects().len()
    };
    let (results, left) = tokio::join!(futures_util::future::join_all(sends), leave);
    assert!(results.iter().all(Result::is_ok), "{results:?}");
    assert_eq!(
        bench.runners[0].effects().len(),
        left,
        "no new requests after it left"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_stay_within_the_retry_budget() {
    let bench = RouterBench::start(1, 1);
    bench.fault(0, FaultMode::Cross, 0, 0);
    for index in 0..50 {
        let result = send(&bench.routers[0], "r", true, 300).await;
        assert!(result.is_err(), "r{index}");
    }
    let effects = bench.effects("r");
    // 50 first attempts, a retry budget of 20 and 20 more retries per 100 requests.
    assert!(
        effects <= 50 + 20 + 10,
        "{effects} attempts for 50 requests"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn verdicts_match_effects_under_random_faults() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let bench = RouterBench::start(2, 2);
    let modes = [
        FaultMode::None,
        FaultMode::None,
        FaultMode::Slow,
        FaultMode::Silent,
        FaultMode::LoseAnswer,
        FaultMode::Truncate,
        FaultMode::Cross,
        FaultMode::Down,
    ];
    let mut results = Vec::new();
    for index in 0..80 {
        let mode = modes[random.random_range(0..modes.len())];
        let ms = random.random_range(0..400);
        bench.fault(random.random_range(0..2), mode, ms, 1);
        let path = format!("r{index}");
        let router = &bench.routers[random.random_range(0..2)];
        let result = send(router, &path, false, 250).await;
        results.push((path, result));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    for (path, result) in results {
        let effects = bench.effects(&path);
        match result {
            Ok(response) if response.status == 200 => {
                assert_eq!(effects, 1, "{path}");
                assert_eq!(response.body, format!("body of {path}"));
            }
            Ok(_) => assert!(effects <= 1, "{path}"),
            Err(failure) if failure.verdict == RunVerdict::NotRun => {
                assert_eq!(effects, 0, "{path}: {failure}");
            }
            Err(_) => assert!(effects <= 1, "{path} ran {effects} times"),
        }
    }
}

/// Guards against one request that crashes runner after runner: each broke its connection without an
/// answer, and the request was retried on the next for as long as the shared budget lasted.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_its_runners_is_given_up() {
    struct Case {
        name: &'static str,
        mode: FaultMode,
    }
    let cases = [
        Case {
            name: "lost",
            mode: FaultMode::LoseAnswer,
        },
        Case {
            name: "truncated",
            mode: FaultMode::Truncate,
        },
    ];
    for case in cases {
        let bench = RouterBench::start(8, 1);
        for runner in 0..8 {
            bench.fault(runner, case.mode, 0, 20);
        }
        let failure = send(&bench.routers[0], case.name, true, 5_000)
            .await
            .expect_err("no runner answers");
        assert_eq!(failure.verdict, RunVerdict::MayHaveRun, "{}", case.name);
        let crashed = bench.effects(case.name);
        assert!(
            crashed <= CRASHED_RUNNERS_MAX,
            "{}: {crashed} runners",
            case.name
        );
    }
}
