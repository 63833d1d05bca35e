//! Commands against a mesh of three nodes on loopback.

use std::io::{Read as _, Write as _};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use buckthorn::node::Node;
use buckthorn::node::settings;
use buckthorn_lab::log::Server;
use buckthornctl::flags::Buckthornctl;
use buckthornctl::output::Output;
use buckthornctl::settings::{Environment, Settings};
use serde_json::Value;

/// Loopback address with a port chosen by the system.
const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Failure domains, one node in each.
const FAILURE_DOMAINS: [&str; 3] = ["east", "north", "west"];

/// Sheet that serves one service and takes a failure domain out of service.
const SHEET: &str = "\
action,service,route,from,to,start,deadline,failure_domain
serve,rungs,,,v1,,,
out,,,,,,,west
";

/// Starts the node of a failure domain.
fn start(failure_domain: &str, platform: &str, seeds: Vec<SocketAddr>) -> Node {
    let settings = settings::Settings {
        host: format!("{failure_domain}-1").into(),
        region: "nam-central".into(),
        failure_domain: failure_domain.into(),
        listen: LOOPBACK,
        hop_listen: LOOPBACK,
        rpc_listen: LOOPBACK,
        admin_listen: LOOPBACK,
        advertise: LOOPBACK.ip(),
        platform: platform.into(),
        seeds,
        secret: "a secret of the tests".into(),
        previous_secret: None,
        log_level: slog::Level::Error,
        statsd: None,
        drain_timeout: Duration::from_secs(1),
        max_connections: 16,
        max_body_bytes: 1024,
        threads: 1,
    };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    Node::start(&settings, logger).unwrap()
}

/// Announces a backend server to a node; returns the status code of the response.
fn announce(node: &Node) -> String {
    let body = r#"{"service":"rungs","version":"v1","address":"127.0.0.1:9",
        "slots":12,"connections":120}"#;
    let head = format!(
        "POST /v1/announce HTTP/1.1\r\nhost: n\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(node.addresses().admin).unwrap();
    stream.write_all((head + body).as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Runs one command; returns its exit code and JSON output.
fn run(platform: &str, args: &[&str]) -> (u8, Value) {
    let args = args.iter().chain(&["--json"]).map(Into::into).collect();
    let flags = Buckthornctl::from_vec(args).unwrap();
    let environment = Environment {
        platform: Some(platform.into()),
        author: Some("ada".into()),
        ..Environment::default()
    };
    let settings = Settings::new(&flags, &environment).unwrap();
    let mut out = Vec::new();
    let exit = {
        let mut output = Output::new(flags.json, &mut out, std::io::sink());
        buckthornctl::run(&flags.subcommand, &settings, &mut output)
    };
    (
        exit.code(),
        serde_json::from_slice(&out).unwrap_or_default(),
    )
}

/// Polls a condition for up to 30 s and panics if it never holds.
fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..600 {
        if condition() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("timed out waiting until {what}");
}

#[test]
fn a_sheet_reaches_every_node_and_the_status_shows_it() {
    let mut server = Server::start(LOOPBACK).unwrap();
    let url = server.url();
    let first = start(FAILURE_DOMAINS[0], &url, Vec::new());
    let seeds = vec![first.addresses().rpc];
    let mut nodes = vec![first];
    for name in &FAILURE_DOMAINS[1..] {
        nodes.push(start(name, &url, seeds.clone()));
    }
    eventually("all failure domains are registered", || {
        let (_, status) = run(&url, &["status"]);
        status["failure_domains"]
            .as_array()
            .is_some_and(|d| d.len() == 3)
    });
    for node in &nodes {
        assert_eq!(announce(node), "200");
    }

    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("mesh.csv");
    std::fs::write(&path, SHEET).unwrap();
    let (code, applied) = run(&url, &["apply", path.to_str().unwrap()]);
    assert_eq!((code, &applied["result"]), (0, &"published".into()));
    let version = applied["version"].as_u64().unwrap();
    eventually("every node holds the sheet", || {
        nodes.iter().all(|node| node.version() >= version)
    });
    eventually("the status shows that every node holds it", || {
        let (_, status) = run(&url, &["status"]);
        let nodes = status["nodes"].as_array().unwrap();
        let servers = status["backend_servers"].as_array().unwrap();
        nodes.len() == 3
            && nodes
                .iter()
                .all(|n| n["holding"] == 1 && n["behind"] == Value::Array(vec![]))
            && servers.len() == 3
            && servers
                .iter()
                .all(|s| s["state"] == "serving" && s["count"] == 1)
    });
    let is_out = |node: &Node| {
        node.table()
            .domains_out
            .iter()
            .any(|name| &**name == "west")
    };
    assert!(nodes.iter().all(is_out));

    // The configuration stays in force while the log is unreachable; changes work again after.
    server.stop();
    assert_eq!(run(&url, &["in", "west", "--timeout", "0"]).0, 1);
    assert!(nodes.iter().all(is_out));
    server.restart().unwrap();
    assert_eq!(run(&url, &["in", "west"]).0, 0);
    eventually("every node has the failure domain back in service", || {
        !nodes.iter().any(is_out)
    });
    for node in nodes {
        node.kill();
    }
}
