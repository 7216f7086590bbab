//! Calls of a process that is paused before it has sent them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hemlockramp::wire::local_http::{HttpCall, LocalHttpClient};
use http::Method;
use tokio::task::LocalSet;

/// Time limit of a call, in ms.
const CALL_TIMEOUT_MS: u64 = 200;
/// A pause that outlasts it, in ms.
const PAUSE_MS: u64 = 500;
/// Time in which a request that was sent reaches the server, in ms.
const ARRIVAL_MS: u64 = 300;

/// Serves one connection in a thread of its own, which no pause of the client stops. Returns its
/// address and the number of bytes that have reached it.
fn start_server() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&received);
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        answer_requests(stream, &count);
    });
    (address, received)
}

fn answer_requests(mut stream: TcpStream, count: &AtomicUsize) {
    let mut buffer = [0; 1_024];
    while let Ok(bytes @ 1..) = stream.read(&mut buffer) {
        count.fetch_add(bytes, Ordering::SeqCst);
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        if stream.write_all(response).is_err() {
            return;
        }
    }
}

/// Guards against orders that go out long after they were decided: a call whose time had run out
/// while the process was paused was still sent on its waking, and then reported as unanswered.
#[test]
fn call_whose_time_has_run_out_is_not_sent() {
    for pause_ms in [0, PAUSE_MS] {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("build the runtime");
        LocalSet::new().block_on(&runtime, check_call(pause_ms));
    }
}

async fn check_call(pause_ms: u64) {
    let (address, received) = start_server();
    let call = tokio::task::spawn_local(async move {
        let call = HttpCall::new(address, Method::POST, "/run-start");
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        LocalHttpClient::default().call(&call, limit).await
    });
    // The call has begun to connect when the process is paused.
    tokio::task::yield_now().await;
    std::thread::sleep(Duration::from_millis(pause_ms));
    let result = call.await.expect("the call ends");
    tokio::time::sleep(Duration::from_millis(ARRIVAL_MS)).await;
    let sent = received.load(Ordering::SeqCst) > 0;
    assert_eq!(sent, pause_ms == 0, "pause of {pause_ms} ms: {result:?}");
    assert_eq!(result.is_ok(), sent, "pause of {pause_ms} ms: {result:?}");
}
