//! Calls of a backend server, and requests of callers that only look like them.

mod proxy_kit;

use std::sync::Arc;

use buckthorn::config::policy::{Kind, Policy, Route, SplitPart};
use buckthorn::counter::Counter;
use buckthorn::routing::table::Table;
use proxy_kit::{Caller, Exchange, SERVICE, contract, limits, node_under, scripted, table};
use tokio::sync::Semaphore;

#[tokio::test(flavor = "multi_thread")]
async fn a_call_is_in_progress_while_the_request_that_it_names_runs() {
    // Holds a request for the path `/held` until it gets a permit.
    let (arrived, release) = (Arc::new(Semaphore::new(0)), Arc::new(Semaphore::new(0)));
    let (arrivals, permits) = (arrived.clone(), release.clone());
    let backend = scripted(move |mut exchange: Exchange| {
        let (arrivals, permits) = (arrivals.clone(), permits.clone());
        async move {
            while let Some(request) = exchange.request().await {
                if request.starts_with("GET /held") {
                    arrivals.add_permits(1);
                    permits.acquire().await.expect("never closed").forget();
                }
                let id = request.lines().find(|line| line.starts_with("test-id: "));
                let id = id.unwrap_or_default();
                exchange
                    .send(format!(
                        "HTTP/1.1 200 OK\r\n{id}\r\ntest-signature: s\r\ncontent-length: 0\r\n\r\n"
                    ))
                    .await;
            }
        }
    })
    .await;
    let node = node_under(Some(contract()), "host", Some(backend), limits()).await;
    let part = SplitPart {
        service: SERVICE.into(),
        weight: 1,
    };
    let route = Route::new(
        "r".into(),
        "shop.example",
        "/".into(),
        Kind::Idempotent,
        vec![part],
    );
    node.plane.table.store(Arc::new(Table {
        policy: Some(Arc::new(Policy::new(1, vec![route], Vec::new()))),
        ..table(&[node.endpoint()])
    }));
    let request = |path: &str, id: &str| {
        format!(
            "GET {path} HTTP/1.1\r\nhost: shop.example\r\ntest-id: {id}\r\ntest-deadline: 5000\r\n\r\n"
        )
    };
    let mut held = Caller::connect(node.callers).await;
    held.send(request("/held", "a")).await;
    let mut caller = Caller::connect(node.callers).await;
    arrived.acquire().await.expect("never closed").forget();
    let mut counts = Vec::new();
    for id in ["b", "b.1", "a.1"] {
        caller.send(request("/", id)).await;
        assert_eq!(caller.response("GET").await.status, 200, "{id}");
        counts.push(node.count(Counter::CallsInProgress));
    }
    assert_eq!(counts, [0, 0, 1]);
    release.add_permits(1);
    assert_eq!(held.response("GET").await.status, 200);
    caller.send(request("/", "a.2")).await;
    assert_eq!(caller.response("GET").await.status, 200);
    assert_eq!(node.count(Counter::CallsInProgress), 1);
}
