//! Announces a backend server to its node again and again.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::ensure;
use oxhttp::Client;
use oxhttp::model::{Method, Request, header};
use serde::Serialize;

/// Time between two announcements.
pub const INTERVAL: Duration = Duration::from_secs(2);
/// Time that one announcement may take.
const TIMEOUT: Duration = Duration::from_secs(1);

/// What a backend server tells its node.
#[derive(Clone, Debug, Serialize)]
pub struct Announcement {
    /// Service.
    pub service: String,
    /// Version.
    pub version: String,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it takes.
    pub connections: u32,
}

/// Sends one announcement to a node's operators' port.
///
/// # Errors
///
/// Fails when the node cannot be reached or refuses it.
pub fn announce(node: SocketAddr, announcement: &Announcement) -> anyhow::Result<()> {
    post(node, "/v1/announce", serde_json::to_string(announcement)?)
}

/// Tells a node that its backend server leaves.
///
/// # Errors
///
/// Fails when the node cannot be reached or refuses it.
pub fn leave(node: SocketAddr) -> anyhow::Result<()> {
    post(node, "/v1/leave", "{}".to_owned())
}

/// Sends JSON to a node.
fn post(node: SocketAddr, path: &str, json: String) -> anyhow::Result<()> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{node}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(json)?;
    let client = Client::new().with_global_timeout(TIMEOUT);
    let response = client.request(request)?;
    let status = response.status();
    ensure!(status.is_success(), "{path} was answered with {status}");
    Ok(())
}
