//! Plug-in that contains poison requests.

use crate::kernel::{Context, Event, Plugin, Registry};
use crate::log_event::LogEvent;

use super::watch::Crash;

/// Registers the plug-in.
pub fn register(registry: &mut Registry) {
    registry.add(Containment);
}

/// Reports crashes of the local backend server.
#[derive(Debug)]
struct Containment;

impl Plugin for Containment {
    fn name(&self) -> &'static str {
        "containment"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        if let Event::BackendCrashed(crash) = event {
            log_crash(cx, crash);
        }
    }
}

/// Logs a crash of the local backend server.
fn log_crash(cx: &mut Context<'_>, crash: &Crash) {
    let suspects = crash.suspects.iter();
    let fingerprints: Vec<String> = suspects.map(|s| s.fingerprint.to_string()).collect();
    let detail = format!("{} calls lost: {}", crash.lost, fingerprints.join(" "));
    cx.log_event(LogEvent::BackendCrashed, "", detail);
}
