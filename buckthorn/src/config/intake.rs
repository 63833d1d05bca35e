//! Plug-in that takes operators' orders from a topic of their own.
//!
//! Every node reads the topic itself. A read that hangs is cut short when a peer knows newer
//! orders: probes carry the offset up to which a node has read, and a node that reads news after a
//! failure tells its peers at once, since their reads may hang for the same cause.

use std::time::Duration;

use crate::clock::Time;
use crate::kernel::{Action, Context, Event, Plugin, Registry};
use crate::logline::Line;
use crate::membership::member::Member;
use crate::rpc::message::Message;

use super::order::Feed;

/// Time that a read gets before it is cut short for newer orders at a peer; longer than reads are
/// put off to gather orders.
const READ_GRACE: Duration = Duration::from_millis(900);

/// Registers the plug-in.
pub fn register(registry: &mut Registry) {
    registry.add(Intake::default());
}

/// Puts orders and published decisions in force as they are read.
#[derive(Debug, Default)]
pub struct Intake {
    /// When a peer was first seen to know newer orders.
    behind: Option<Time>,
}

impl Plugin for Intake {
    fn name(&self) -> &'static str {
        "intake"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        let has_changed = match event {
            Event::Ordered(feed) => self.take(cx, feed),
            Event::Decided(decisions) => cx.shared.orders.decide(decisions),
            Event::Received { messages, .. } | Event::Answered { messages, .. } => {
                for message in messages {
                    self.compare(cx, message);
                }
                false
            }
            _ => false,
        };
        if has_changed {
            cx.act(Action::Rebuild);
        }
    }
}

impl Intake {
    /// Takes orders; a node serves from the first policy on.
    fn take(&mut self, cx: &mut Context<'_>, feed: &Feed) -> bool {
        self.behind = None;
        let out = cx.shared.orders.out();
        let has_changed = cx.shared.orders.apply(feed, cx.now);
        let now_out = cx.shared.orders.out();
        if now_out != out {
            let detail = format!("read up to offset {}", cx.shared.orders.next());
            cx.note(Line::DomainsOut, now_out.join(","), detail);
        }
        cx.shared.is_synced = cx.shared.orders.policy().is_some();
        if has_changed && feed.is_late {
            let next = cx.shared.orders.next();
            let own = cx.shared.identity.host.clone();
            let live = cx.shared.view.live().filter(|member| member.host != own);
            let peers: Vec<Member> = live.cloned().collect();
            for peer in peers {
                cx.send(&peer, vec![Message::Ordered { next }]);
            }
        }
        has_changed
    }

    /// Looks whether a peer knows newer orders.
    fn compare(&mut self, cx: &mut Context<'_>, message: &Message) {
        let (next, grace) = match message {
            Message::Ordered { next } => (*next, Duration::ZERO),
            Message::Ping(digest) | Message::Ack(digest) => (digest.next, READ_GRACE),
            _ => return,
        };
        if next <= cx.shared.orders.next() {
            return;
        }
        let behind = *self.behind.get_or_insert(cx.now);
        if cx.now.since(behind) >= grace {
            self.behind = Some(cx.now);
            cx.act(Action::Refresh);
        }
    }
}
