//! Plug-in that takes operators' orders from a topic of their own.

use crate::kernel::{Action, Context, Event, Plugin, Registry};

use super::order::Feed;

/// Registers the plug-in.
pub fn register(registry: &mut Registry) {
    registry.add(Intake);
}

/// Puts orders and published decisions in force as they are read.
#[derive(Debug)]
pub struct Intake;

impl Plugin for Intake {
    fn name(&self) -> &'static str {
        "intake"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        let has_changed = match event {
            Event::Ordered(feed) => take(cx, feed),
            Event::Decided(decisions) => cx.shared.orders.decide(decisions),
            _ => false,
        };
        if has_changed {
            cx.act(Action::Rebuild);
        }
    }
}

/// Takes orders; a node serves from the first policy on.
fn take(cx: &mut Context<'_>, feed: &Feed) -> bool {
    let has_changed = cx.shared.orders.apply(feed, cx.now);
    cx.shared.is_synced = cx.shared.orders.policy().is_some();
    has_changed
}
