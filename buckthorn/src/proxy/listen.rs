//! Accepts connections from callers and other nodes, within limits, until the node drains.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header as names};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use slog::info;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use super::body::{self, Body, Bounds, Monitor};
use super::connections::{Admission, ConnectionState, Registry};
use super::eviction::{Cause, Phase as PeerPhase, Timeouts, VERIFY_TIMEOUT};
use super::header::{self, Call, Role, SECRET};
use super::ingress::Origin;
use super::payload::{Payload, UploadStatus};
use super::pipeline::{EarlyCall, Progress, Reader, Scanner, Step, Window};
use super::response::{self, Ran, Reason};
use super::socket::{self, Socket};
use super::{Plane, hop, ingress, keyed, owner, request_log};
use crate::admission::gate::Refusal;
use crate::counter::Counter;
use crate::log_event::LogEvent;

/// Pause after a failed accept, to avoid a busy loop when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time for the peer to read the refusal of its connection.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// Maximum concurrent refusals of connections; beyond it, connections are closed without a
/// response.
const MAX_REFUSALS: usize = 64;
/// Longest interval between two checks of the timeouts of connections.
const MAX_EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum streams that a node may reset before they were accepted.
const MAX_PENDING_RESETS: usize = 256;

/// Phase of the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepting connections and calls.
    Serving,
    /// Completing the calls in flight.
    Draining,
}

/// Receiver of the phase.
type PhaseReceiver = watch::Receiver<Phase>;

/// Waits until the node starts to drain.
async fn draining(phase: &mut PhaseReceiver) {
    // A dropped sender also means that the node drains.
    let _ = phase.wait_for(|current| *current == Phase::Draining).await;
}

/// Port on which a connection arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Port {
    /// Port for callers.
    Callers,
    /// Port for other nodes.
    Hop,
}

/// Serves callers until the node has drained.
pub async fn callers(plane: Arc<Plane>, listener: TcpListener, phase: PhaseReceiver) {
    accept(plane, listener, phase, Port::Callers).await;
}

/// Serves other nodes until the node has drained.
pub async fn hop(plane: Arc<Plane>, listener: TcpListener, phase: PhaseReceiver) {
    accept(plane, listener, phase, Port::Hop).await;
}

/// Accepts connections, then waits until all of them have ended.
async fn accept(plane: Arc<Plane>, listener: TcpListener, mut phase: PhaseReceiver, port: Port) {
    let limit = match port {
        Port::Callers => plane.limits.caller_connections,
        Port::Hop => plane.limits.hop_connections,
    };
    let mut registry = match port {
        Port::Callers => Registry::new(limit),
        Port::Hop => Registry::for_nodes(limit),
    };
    let refusals = Arc::new(Semaphore::new(MAX_REFUSALS));
    let interval = plane.limits.header_timeout / 4;
    let mut expiry = tokio::time::interval(interval.clamp(ACCEPT_PAUSE, MAX_EXPIRY_INTERVAL));
    expiry.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tasks = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = tasks.join_next() => continue,
            _ = expiry.tick() => {
                let evicted = registry.expire(&timeouts(&plane, port));
                for _ in 0..evicted {
                    record_eviction(&plane, PeerPhase::Blocked);
                }
                continue;
            }
            () = draining(&mut phase) => break,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        socket::prepare(&stream, plane.limits.unread_bytes);
        let state = match registry.admit() {
            Admission::Open(state) => state,
            Admission::Replaced(state, phase) => {
                if port == Port::Callers {
                    record_eviction(&plane, phase);
                }
                state
            }
            Admission::Refused => {
                plane.counters.increment(Counter::RefusedConnections);
                plane.shortage.record();
                if let Ok(permit) = refusals.clone().try_acquire_owned() {
                    tasks.spawn(async move {
                        refuse_connection(stream, Reason::Connections).await;
                        drop(permit);
                    });
                }
                continue;
            }
        };
        let is_local = stream
            .local_addr()
            .is_ok_and(|local| local.ip() == peer.ip());
        let origin = if is_local {
            Origin::Local
        } else {
            Origin::Remote
        };
        let (plane, phase) = (plane.clone(), phase.clone());
        let refusals = refusals.clone();
        tasks.spawn(async move {
            match port {
                Port::Callers => {
                    let connection = Connection {
                        stream,
                        state,
                        origin,
                        refusals,
                    };
                    serve_caller(plane, connection, phase).await;
                }
                Port::Hop => serve_node(plane, stream, state, phase).await,
            }
        });
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

/// Returns the timeouts of the connections of a port.
fn timeouts(plane: &Plane, port: Port) -> Timeouts {
    match port {
        Port::Callers => {
            let limits = plane.request_limits();
            Timeouts {
                head: limits.header_timeout,
                idle: limits.idle_timeout,
                is_shortage: plane.shortage.is_current(),
            }
        }
        Port::Hop => Timeouts {
            head: VERIFY_TIMEOUT,
            idle: VERIFY_TIMEOUT,
            is_shortage: false,
        },
    }
}

/// Sends a refusal on a connection and closes it.
async fn refuse_connection(mut stream: impl AsyncReadExt + AsyncWriteExt + Unpin, reason: Reason) {
    let response = response::raw(reason, Ran::NotRun);
    let exchange = async {
        stream.write_all(response.as_bytes()).await?;
        stream.shutdown().await?;
        // Closing with unread bytes would reset the connection before the peer reads the refusal.
        let mut sink = [0; 4096];
        while stream.read(&mut sink).await? > 0 {}
        std::io::Result::Ok(())
    };
    // The peer may already be gone.
    let _ = tokio::time::timeout(REFUSAL_TIME, exchange).await;
}

/// A connection of a caller, as the handler of its requests sees it.
struct CallerConnection {
    /// Plane of the node.
    plane: Arc<Plane>,
    /// Where the connection comes from.
    origin: Origin,
    /// State that decides whether it is closed for another one.
    state: Arc<ConnectionState>,
    /// Requests taken and answered, and calls that were dispatched early.
    progress: Progress,
}

impl CallerConnection {
    /// Returns whether the connection is closed for the number of requests sent ahead, since room is
    /// short.
    fn is_burst(&self) -> bool {
        let plane = &self.plane;
        self.state.burst() > plane.limits.burst_requests && plane.shortage.is_current()
    }

    /// Dispatches the requests in a window that may run beside those before them.
    fn dispatch_ahead(&self, window: &mut Window) {
        let progress = &self.progress;
        while let Some((index, request)) = window.next(progress.taken(), progress.answered()) {
            // A call that began now might be cut off by the end of the connection.
            let is_ending = self.plane.is_draining() || self.is_burst();
            if is_ending || !ingress::may_run_ahead(&self.plane, &request) {
                continue;
            }
            self.plane.counters.increment(Counter::CallsAhead);
            let (plane, origin) = (self.plane.clone(), self.origin);
            let (mut parts, ()) = request.clone().into_parts();
            parts.extensions.insert(UploadStatus::default());
            let task = tokio::spawn(async move {
                let bounds = request_bounds(&plane, &parts.headers);
                let body = Monitor::new(body::empty(), bounds, |_| {});
                ingress::handle(&plane, origin, Request::from_parts(parts, body)).await
            });
            progress.add(EarlyCall::new(index, &request, task));
        }
    }
}

/// Counts and logs that a connection was closed for another one.
fn record_eviction(plane: &Plane, phase: PeerPhase) {
    plane.counters.increment(Counter::ConnectionsEvicted);
    plane.shortage.record();
    if request_log::may_write(plane, request_log::Class::Response) {
        info!(plane.logger, "{}", LogEvent::ConnectionEvicted.name(); "phase" => format!("{phase:?}"));
    }
}

/// An accepted connection of a caller.
struct Connection {
    /// TCP stream.
    stream: TcpStream,
    /// State that decides whether it is closed for another one.
    state: Arc<ConnectionState>,
    /// Where it comes from.
    origin: Origin,
    /// Limits the concurrent refusals.
    refusals: Arc<Semaphore>,
}

/// Serves one connection of a caller.
async fn serve_caller(plane: Arc<Plane>, accepted: Connection, mut phase: PhaseReceiver) {
    let Connection {
        stream,
        state,
        origin,
        refusals,
    } = accepted;
    let write_timeout = plane.limits.idle_body_timeout;
    let limits = plane.request_limits();
    let scanner = Scanner::new(limits.header_bytes, plane.limits.headers);
    let (reader, stream) = Reader::new(stream, scanner);
    let mut reader = Some(reader);
    let mut window = Window::new(plane.limits.requests_ahead);
    let socket = TokioIo::new(Socket::new(stream, state.clone(), write_timeout));
    let caller = Arc::new(CallerConnection {
        plane: plane.clone(),
        origin,
        state: state.clone(),
        progress: Progress::default(),
    });
    let service = {
        let caller = caller.clone();
        service_fn(move |request| handle_caller(caller.clone(), request))
    };
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // It also ends the wait for the next request, so the timeout of heads is enforced apart.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.header_bytes.max(8 * 1024))
        .max_headers(plane.limits.headers)
        .serve_connection(socket, service);
    let mut linger = pin!(async {
        draining(&mut phase).await;
        tokio::time::sleep(plane.limits.drain_linger).await;
        // The library would close the connection before the responses that were made ahead.
        caller.progress.settled().await;
    });
    let ended = {
        let mut is_closing = false;
        loop {
            tokio::select! {
                // What was read is passed on in the same turn.
                biased;
                step = read_next(&mut reader) => match step {
                    Step::Read(heads) => {
                        for head in heads {
                            window.push(head, caller.progress.taken());
                        }
                        caller.dispatch_ahead(&mut window);
                    }
                    // The library does not notice while it holds requests that it has not taken.
                    Step::Ended if caller.progress.has_early() => return,
                    Step::Ended => reader = None,
                },
                result = &mut connection => break Ok(result),
                cause = state.closing() => break Err(cause),
                () = caller.progress.next_answer(), if !window.is_empty() => {
                    caller.dispatch_ahead(&mut window);
                }
                () = &mut linger, if !is_closing => {
                    is_closing = true;
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                }
            }
        }
    };
    let reason = match ended {
        Ok(Ok(())) => return,
        Ok(Err(error)) if state.is_stalled() => {
            drop(error);
            return plane.counters.increment(Counter::ConnectionsStalled);
        }
        Ok(Err(error)) if error.is_parse_too_large() => {
            return plane.counters.increment(Counter::RefusedHeaderSize);
        }
        Ok(Err(error)) if error.is_parse() => {
            return plane.counters.increment(Counter::RefusedBadRequest);
        }
        Ok(Err(error)) if error.is_timeout() && state.has_unconsumed() => Reason::HeaderTimeout,
        Err(Cause::HeadTimeout) => Reason::HeaderTimeout,
        // Only an incomplete head is known not to have run.
        Err(Cause::Room) if state.view().phase == PeerPhase::Head => Reason::Connections,
        Ok(Err(_)) | Err(Cause::Room | Cause::IdleTimeout | Cause::Unverified) => return,
    };
    if reason == Reason::HeaderTimeout {
        plane.counters.increment(Counter::RefusedHeaderTimeout);
    }
    let stream = connection.into_parts().io.into_inner().into_inner();
    let stream = reader.and_then(|reader| reader.reunite(stream));
    if let (Some(stream), Ok(_permit)) = (stream, refusals.try_acquire()) {
        refuse_connection(stream, reason).await;
    }
}

/// Reads on if the connection has not ended.
async fn read_next(reader: &mut Option<Reader>) -> Step {
    match reader {
        Some(reader) => reader.next().await,
        None => std::future::pending().await,
    }
}

/// Returns the bounds of a caller's request body.
fn request_bounds(plane: &Plane, headers: &HeaderMap) -> Bounds {
    Bounds {
        declared: header::declared_length(headers).ok().flatten(),
        max_bytes: plane.request_limits().body_bytes,
        idle: plane.limits.idle_body_timeout,
    }
}

/// Handles one request of a caller.
async fn handle_caller(
    caller: Arc<CallerConnection>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let (plane, state) = (&caller.plane, caller.state.clone());
    state.begin_request(!http_body::Body::is_end_stream(request.body()));
    let early = caller.progress.take(&request);
    let response = match early {
        Some(call) => call.response().await,
        None => None,
    };
    let mut response = match response {
        Some(response) => response,
        None => handle_request(plane, state.clone(), caller.origin, request).await,
    };
    caller.progress.record_answer();
    let is_burst = caller.is_burst();
    if (is_burst || plane.is_draining()) && !caller.progress.has_early() {
        if is_burst {
            record_eviction(plane, PeerPhase::Waiting);
        }
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(names::CONNECTION, close);
    }
    Ok(response.map(|body| body::on_drop(body, move || state.end_request())))
}

/// Handles a request of a caller that the HTTP library has taken.
async fn handle_request(
    plane: &Arc<Plane>,
    state: Arc<ConnectionState>,
    origin: Origin,
    request: Request<Incoming>,
) -> Response<Body> {
    let bounds = request_bounds(plane, request.headers());
    let upload = UploadStatus::default();
    let status = upload.clone();
    let uploading = state.clone();
    let mut request = request.map(|body| {
        Monitor::new(body, bounds, move |ending| {
            uploading.end_body();
            status.record(ending);
        })
        .with_progress(&plane.shortage)
    });
    request.extensions_mut().insert(upload);
    ingress::handle(plane, origin, request).await
}

/// Serves one connection of another node.
async fn serve_node(
    plane: Arc<Plane>,
    stream: TcpStream,
    state: Arc<ConnectionState>,
    mut phase: PhaseReceiver,
) {
    let socket = Socket::new(stream, state.clone(), plane.limits.idle_body_timeout);
    let service = {
        let (plane, state) = (plane.clone(), state.clone());
        service_fn(move |request| {
            let refusal = refuse_unverified(&plane, &state, &request);
            let plane = plane.clone();
            async move {
                match refusal {
                    Some(response) => Ok(response),
                    // The future of a call is large, and many requests may begin at once.
                    None => Box::pin(handle_node(plane, request)).await,
                }
            }
        })
    };
    let limits = &plane.limits;
    let header_bytes = plane.request_limits().header_bytes.max(limits.header_bytes);
    let mut connection = pin!(
        http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .initial_stream_window_size(limits.hop_window_bytes)
            .initial_connection_window_size(hop::connection_window(limits))
            .max_concurrent_streams(limits.hop_streams)
            .max_header_list_size(hop::header_list_bytes(header_bytes, limits))
            .max_send_buf_size(limits.hop_window_bytes as usize)
            .max_pending_accept_reset_streams(MAX_PENDING_RESETS)
            .keep_alive_interval(limits.ping_interval)
            .keep_alive_timeout(limits.ping_timeout)
            .serve_connection(TokioIo::new(socket), service)
    );
    let result = tokio::select! {
        result = state.in_turns(connection.as_mut()) => result,
        _ = state.closing() => {
            plane.counters.increment(Counter::UnverifiedPeers);
            return;
        }
        () = draining(&mut phase) => {
            if !state.is_verified() {
                return;
            }
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if result.is_err_and(|error| error.is_timeout()) {
        plane.counters.increment(Counter::ConnectionsSilent);
    }
    if state.is_stalled() {
        plane.counters.increment(Counter::ConnectionsStalled);
    }
}

/// Refuses a request without the shared secret, and closes a connection on which too many came.
fn refuse_unverified(
    plane: &Plane,
    state: &ConnectionState,
    request: &Request<Incoming>,
) -> Option<Response<Body>> {
    let secret = request.headers().get(SECRET);
    if secret.is_some_and(|secret| plane.secrets.accepts(secret.as_bytes())) {
        state.verify();
        return None;
    }
    state.record_unverified_request();
    let reason = Reason::Unauthenticated;
    Some(response::refuse(&plane.counters, reason, Ran::NotRun))
}

/// Handles one request of another node.
async fn handle_node(
    plane: Arc<Plane>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let (parts, body) = request.into_parts();
    let call = Call::parse(&parts, plane.clock.now(), plane.limits.call_timeout);
    let (Some(role), Ok(call)) = (Role::parse(&parts.headers), call) else {
        let reason = Reason::BadRequest;
        return Ok(response::refuse(&plane.counters, reason, Ran::NotRun));
    };
    let bounds = Bounds {
        declared: header::declared_length(&parts.headers).ok().flatten(),
        max_bytes: plane.limits.body_bytes,
        idle: plane.limits.idle_body_timeout,
    };
    let body = Monitor::new(body, bounds, |_| {}).with_progress(&plane.shortage);
    Ok(match role {
        Role::Owner => {
            let request = Request::from_parts(parts, body.boxed_unsync());
            owner::run(&plane, &call, request).await
        }
        Role::KeyHolder if plane.is_draining() => {
            let reason = Reason::Refused(Refusal::Draining);
            response::refuse(&plane.counters, reason, Ran::NotRun)
        }
        Role::KeyHolder => match Payload::read(&plane, &parts, body).await {
            Ok(payload) => keyed::run_as_holder(&plane, call, parts, payload).await,
            Err(reason) => response::refuse(&plane.counters, reason, Ran::NotRun),
        },
        Role::KeyReplica => keyed::store_replica(&plane, parts, body.boxed_unsync()).await,
        Role::Probe => response::empty(StatusCode::NO_CONTENT),
    })
}
