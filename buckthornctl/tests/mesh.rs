//! The commands against a mesh of three nodes on loopback.

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

/// Any free loopback port.
const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Failure domains, one node in each.
const FAILURE_DOMAINS: [&str; 3] = ["east", "north", "west"];

/// Sheet of one service.
const SHEET: &str = "\
action,service,route,from,to,start,deadline,failure_domain
serve,rungs,,,v1,,,
out,,,,,,,west
";

/// Starts a node.
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

/// Announces a backend server to a node; gives the status of the answer.
fn announce(node: &Node) -> String {
    let body = r#"{"service":"rungs","version":"v1","address":"127.0.0.1:9",
        "slots":12,"connections":120}"#;
    let head = format!(
        "POST /v1/announce HTTP/1.1\r\nhost: n\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(node.addresses().admin).unwrap();
    stream.write_all((head + body).as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Runs one command and gives its exit code and its JSON.
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

/// Waits for what the nodes are about to do.
fn eventually(what: &str, mut is_so: impl FnMut() -> bool) {
    for _ in 0..600 {
        if is_so() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("it did not happen: {what}");
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
    eventually("the failure domains make themselves known", || {
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

    // The log goes away and comes back; what was in force stays in force.
    server.stop();
    assert_eq!(run(&url, &["in", "west", "--timeout", "0"]).0, 1);
    assert!(nodes.iter().all(is_out));
    server.restart().unwrap();
    assert_eq!(run(&url, &["in", "west"]).0, 0);
    eventually("every node takes the failure domain back", || {
        !nodes.iter().any(is_out)
    });
    for node in nodes {
        node.kill();
    }
}
