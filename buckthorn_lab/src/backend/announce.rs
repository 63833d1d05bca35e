//! Client of a node's admin endpoints that announce and withdraw its backend server.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::ensure;
use oxhttp::Client;
use oxhttp::model::{Method, Request, header};
use serde::Serialize;

/// Interval between announcements.
pub const INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of one request.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Body of an announcement.
#[derive(Clone, Debug, Serialize)]
pub struct Announcement {
    /// Name of the service that the server implements.
    pub service: String,
    /// Version that the server runs.
    pub version: String,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of connections that it accepts.
    pub connections: u32,
}

/// Sends one announcement to a node's admin port.
///
/// # Errors
///
/// Fails when the node is unreachable or refuses the announcement.
pub fn announce(node: SocketAddr, announcement: &Announcement) -> anyhow::Result<()> {
    post(node, "/v1/announce", serde_json::to_string(announcement)?)
}

/// Reports to a node that its backend server is leaving.
///
/// # Errors
///
/// Fails when the node is unreachable or refuses the request.
pub fn leave(node: SocketAddr) -> anyhow::Result<()> {
    post(node, "/v1/leave", "{}".to_owned())
}

/// Sends a POST request with a JSON body to a node's admin port.
fn post(node: SocketAddr, path: &str, json: String) -> anyhow::Result<()> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{node}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(json)?;
    let client = Client::new().with_global_timeout(TIMEOUT);
    let response = client.request(request)?;
    let status = response.status();
    ensure!(status.is_success(), "{path} returned {status}");
    Ok(())
}
