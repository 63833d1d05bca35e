//! Parts of a route by weight, summed over all ingresses.

use buckthorn::config::policy::{Kind, Policy, Route, SplitPart};
use buckthorn::name;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Nodes that callers send their requests to.
const INGRESSES: u32 = 84;

/// Requests of which every span has to keep the weights.
const SPAN: usize = 300;

/// Largest difference of a part's share from that of its weight.
const MAX_OFF: f64 = 0.1;

/// Policy with one route that is split by these weights.
fn policy(weights: &[u32]) -> Policy {
    let part = |(index, weight): (usize, &u32)| SplitPart {
        service: format!("s{index}").into(),
        weight: *weight,
    };
    let split = weights.iter().enumerate().map(part).collect();
    let route = Route::new("r".into(), "host", "/".into(), Kind::Idempotent, split);
    Policy::new(1, vec![route], Vec::new())
}

/// Point of the sequence at which an ingress begins.
fn phase(ingress: u32) -> u32 {
    name::phase(&format!("sidecar-{ingress}"))
}

/// Index of the part that an ingress sends its next request to.
fn next_part(policy: &Policy, ingress: u32) -> usize {
    let service = policy
        .route("host", "/")
        .unwrap()
        .next_service(phase(ingress));
    service[1..].parse().unwrap()
}

/// Largest difference of any part's share from its weight's, over all spans of the requests.
fn largest_difference(parts: &[usize], weights: &[u32]) -> f64 {
    let total = f64::from(weights.iter().sum::<u32>());
    let spans = parts.windows(SPAN);
    let differences = spans.flat_map(|span| {
        weights.iter().enumerate().map(move |(part, weight)| {
            let count = span.iter().filter(|p| **p == part).count();
            (count as f64 / SPAN as f64 - f64::from(*weight) / total).abs()
        })
    });
    differences.fold(0.0, f64::max)
}

/// All ingresses take a policy at once, and callers reach them at random: each has seen few requests
/// when the first span ends, so their sequences must not run in step.
#[test]
fn every_span_of_requests_keeps_the_weights() {
    for weights in [
        &[90, 10][..],
        &[50, 50],
        &[60, 30, 10],
        &[1, 1, 1, 1],
        &[0, 7],
    ] {
        for seed in 0..20 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let nodes: Vec<_> = (0..INGRESSES).map(|_| policy(weights)).collect();
            let parts: Vec<usize> = (0..2_000)
                .map(|_| {
                    let ingress = rng.random_range(0..INGRESSES);
                    next_part(&nodes[ingress as usize], ingress)
                })
                .collect();
            let off = largest_difference(&parts, weights);
            assert!(off <= MAX_OFF, "weights {weights:?}, seed {seed}: {off:.3}");
        }
    }
}

/// Operators change the weights while requests arrive; the new weights hold from the next request
/// on, at each ingress by itself.
#[test]
fn changed_weights_hold_from_the_next_request_on() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut parts = Vec::new();
        let weights = [80, 20];
        for weights in [[20, 80], weights] {
            let nodes: Vec<_> = (0..INGRESSES).map(|_| policy(&weights)).collect();
            parts.clear();
            for _ in 0..1_000 {
                let ingress = rng.random_range(0..INGRESSES);
                parts.push(next_part(&nodes[ingress as usize], ingress));
            }
        }
        let off = largest_difference(&parts, &weights);
        assert!(off <= MAX_OFF, "seed {seed}: {off:.3}");
    }
}
