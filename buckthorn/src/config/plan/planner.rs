//! Comparison of a sheet with the intent in force.

use super::{Effect, Line, Plan, failure_domain_line, percent, unknown_failure_domain};
use crate::clock::Time;
use crate::config::change::Operation;
use crate::config::intent::{self, Intent, Phase};
use crate::config::sheet::{self, Column, Entry, Fault, Sheet, fault};
use crate::journal::amend;
use crate::journal::fold::State;
use crate::name::Name;

/// Compares a sheet with the state in force.
pub(super) fn compare(state: &State, sheet: &Sheet, now: Time) -> Result<Plan, Vec<Fault>> {
    let mut planner = Planner {
        intent: &state.intent,
        sheet,
        now,
        lines: Vec::new(),
        operations: Vec::new(),
        faults: Vec::new(),
    };
    planner.withdraw_unnamed_moves();
    planner.compare_serves();
    planner.compare_moves();
    planner.compare_failure_domains();
    planner.list_unnamed();
    planner.finish(state)
}

/// State of one comparison.
struct Planner<'a> {
    /// Intent in force.
    intent: &'a Intent,
    /// Sheet to compare.
    sheet: &'a Sheet,
    /// Present time.
    now: Time,
    /// Lines so far.
    lines: Vec<Line>,
    /// Operations so far.
    operations: Vec<Operation>,
    /// Faults so far.
    faults: Vec<Fault>,
}

/// Status of a sheet's move in the intent in force.
enum MoveStatus<'a> {
    /// The intent has the move, which has not been withdrawn.
    Known(&'a intent::Move),
    /// The move was withdrawn before it began and can be planned anew.
    Withdrawn,
    /// The move ended so long ago that the intent no longer holds it.
    Pruned,
    /// The move is new.
    New,
}

impl<'a> Planner<'a> {
    /// Withdraws moves that have not begun and that the sheet does not name, and adds a line for
    /// each unnamed move that has begun.
    fn withdraw_unnamed_moves(&mut self) {
        let mut named: Vec<Name> = self.sheet.moves().map(|(_, entry)| entry.id()).collect();
        named.sort();
        for entry in &self.intent.moves {
            if entry.phase.is_ended() || named.binary_search(&entry.id).is_ok() {
                continue;
            }
            let subject = format!("move {}", entry.id);
            if entry.phase == Phase::Waiting {
                let text = "not named and not begun, is withdrawn";
                self.push_line(Effect::Remove, None, subject, text);
                let id = entry.id.clone();
                self.operations.push(Operation::Cancel { id });
                continue;
            }
            let replacement = self.sheet.moves().find(|(_, other)| {
                other.is_for_route(&entry.service, &entry.route) && !self.follows(other, entry)
            });
            match replacement {
                Some((line, other)) if matches!(self.move_status(other), MoveStatus::New) => {
                    let text = format!(
                        "{} at {}, is replaced: its traffic returns to {} first",
                        entry.phase,
                        percent(entry.share),
                        entry.from
                    );
                    self.push_line(Effect::Remove, Some(line), subject, text);
                }
                _ => {
                    let text = format!(
                        "not named but begun, goes on ({} at {})",
                        entry.phase,
                        percent(entry.share)
                    );
                    self.push_line(Effect::Keep, None, subject, text);
                }
            }
        }
    }

    /// Compares the declared versions with those that serve.
    fn compare_serves(&mut self) {
        for row in &self.sheet.rows {
            let Entry::Serve(serve) = &row.entry else {
                continue;
            };
            let subject = format!("{}{}", serve.service, serve.route);
            let serving = self.serving(&serve.service, &serve.route);
            let Some(serving) = serving else {
                let text = format!("is served by {}", serve.version);
                self.push_line(Effect::Add, Some(row.line), subject, text);
                self.operations.push(Operation::Serve {
                    service: serve.service.clone(),
                    route: serve.route.clone(),
                    version: serve.version.clone(),
                });
                continue;
            };
            if *serving == serve.version {
                let text = format!("stays on {serving}");
                self.push_line(Effect::Keep, Some(row.line), subject, text);
            } else if self.is_reached_by_moves(serve, serving) {
                let text = format!("has moved from {} to {serving}", serve.version);
                self.push_line(Effect::Keep, Some(row.line), subject, text);
            } else if self.is_active_move_target(serve) {
                let text = format!("stays on {serving}, a move to {} is open", serve.version);
                self.push_line(Effect::Keep, Some(row.line), subject, text);
            } else {
                let text = format!(
                    "{subject} is served by {serving}; a move is needed to change it to {}",
                    serve.version
                );
                self.faults.push(fault(row.line, Some(Column::To), text));
            }
        }
    }

    /// Compares the moves in the order of their starts.
    fn compare_moves(&mut self) {
        let mut moves: Vec<(u64, &'a sheet::Move)> = self.sheet.moves().collect();
        moves.sort_by_key(|(_, entry)| entry.start);
        for (line, entry) in moves {
            let subject = format!("move {}", entry.id());
            match self.move_status(entry) {
                MoveStatus::Known(known) if known.phase == Phase::RolledBack => {
                    let text = format!(
                        "was taken back ({}); give it another start or deadline to try again",
                        known.reason
                    );
                    self.push_line(Effect::Warn, Some(line), subject, text);
                }
                MoveStatus::Known(known) if known.phase == Phase::Waiting => {
                    self.keep_waiting(line, subject, entry);
                }
                MoveStatus::Known(known) => {
                    let text = format!("is known ({} at {})", known.phase, percent(known.share));
                    self.push_line(Effect::Keep, Some(line), subject, text);
                }
                MoveStatus::Pruned => {
                    let text = format!("is over, {} serves", entry.to);
                    self.push_line(Effect::Keep, Some(line), subject, text);
                }
                MoveStatus::Withdrawn => self.replan(line, subject, entry),
                MoveStatus::New => self.add_move(line, subject, entry),
            }
        }
    }

    /// Keeps a known move that has not begun, unless this plan withdraws the move that it follows.
    fn keep_waiting(&mut self, line: u64, subject: String, entry: &sheet::Move) {
        if let Err((column, text)) = self.check_from(entry) {
            let text = format!("{text}, and the move that leads to it is not in the sheet");
            self.faults.push(fault(line, Some(column), text));
            return;
        }
        let text = format!("is known ({} at {})", Phase::Waiting, percent(0));
        self.push_line(Effect::Keep, Some(line), subject, text);
    }

    /// Plans a withdrawn move anew, unless the move that it follows has ended without success.
    fn replan(&mut self, line: u64, subject: String, entry: &sheet::Move) {
        let has_preceding_move = self.sheet.moves().any(|(_, other)| {
            other.is_for_route(&entry.service, &entry.route) && other.to == entry.from
        });
        match self.check_from(entry) {
            Err((_, text)) if has_preceding_move => {
                let text = format!("stays withdrawn: {text}");
                self.push_line(Effect::Warn, Some(line), subject, text);
            }
            _ => self.add_move(line, subject, entry),
        }
    }

    /// Adds a move, or a fault if it cannot be added.
    fn add_move(&mut self, line: u64, subject: String, entry: &sheet::Move) {
        if entry.deadline <= self.now {
            let text = format!("{} is in the past", entry.deadline);
            self.faults.push(fault(line, Some(Column::Deadline), text));
            return;
        }
        if let Err((column, text)) = self.check_from(entry) {
            self.faults.push(fault(line, Some(column), text));
            return;
        }
        let text = format!(
            "{}{} from {} to {}, starts {}, due {}",
            entry.service, entry.route, entry.from, entry.to, entry.start, entry.deadline
        );
        self.push_line(Effect::Add, Some(line), subject, text);
        self.operations.push(Operation::Move {
            service: entry.service.clone(),
            route: entry.route.clone(),
            from: entry.from.clone(),
            to: entry.to.clone(),
            start: entry.start,
            deadline: entry.deadline,
        });
    }

    /// Checks that a new move starts from the version that serves at its start.
    fn check_from(&self, entry: &sheet::Move) -> Result<(), (Column, String)> {
        let subject = format!("{}{}", entry.service, entry.route);
        let declared = self.sheet.rows.iter().find_map(|row| match &row.entry {
            Entry::Serve(serve) if entry.is_for_route(&serve.service, &serve.route) => {
                Some(&serve.version)
            }
            _ => None,
        });
        let serving = self.serving(&entry.service, &entry.route).or(declared);
        let Some(serving) = serving else {
            let text = format!("{subject} is not served; a serve row is needed first");
            return Err((Column::Service, text));
        };
        let follows_open = self.intent.moves.iter().any(|other| {
            !other.phase.is_ended() && !self.is_withdrawn(&other.id) && self.follows(entry, other)
        });
        let follows_new = self.operations.iter().any(|operation| match operation {
            Operation::Move {
                service,
                route,
                to,
                deadline,
                ..
            } => {
                entry.is_for_route(service, route) && *to == entry.from && *deadline <= entry.start
            }
            _ => false,
        });
        if *serving == entry.from || follows_open || follows_new {
            return Ok(());
        }
        let text = format!("{} is not serving {subject}, {serving} is", entry.from);
        Err((Column::From, text))
    }

    /// Compares the failure domains.
    fn compare_failure_domains(&mut self) {
        for row in &self.sheet.rows {
            let (name, is_out) = match &row.entry {
                Entry::Out(name) => (name, true),
                Entry::In(name) => (name, false),
                Entry::Serve(_) | Entry::Move(_) => continue,
            };
            let Some(domain) = self.intent.failure_domain(name) else {
                let text = unknown_failure_domain(self.intent, name);
                let column = Some(Column::FailureDomain);
                self.faults.push(fault(row.line, column, text));
                continue;
            };
            let (line, operation) =
                failure_domain_line(name, domain.is_out, is_out, Some(row.line));
            self.lines.push(line);
            self.operations.extend(operation);
        }
    }

    /// Adds a line for each service and failure domain that the sheet does not name.
    fn list_unnamed(&mut self) {
        let mut services: Vec<&str> = Vec::new();
        let mut domains: Vec<&str> = Vec::new();
        for row in &self.sheet.rows {
            match &row.entry {
                Entry::Serve(serve) => services.push(&serve.service),
                Entry::Move(entry) => services.push(&entry.service),
                Entry::Out(name) | Entry::In(name) => domains.push(name),
            }
        }
        services.sort_unstable();
        domains.sort_unstable();
        for service in &self.intent.services {
            if services.binary_search(&&*service.name).is_ok() {
                continue;
            }
            let versions: Vec<String> = service
                .routes
                .iter()
                .map(|route| match &*route.prefix {
                    "" => route.version.to_string(),
                    prefix => format!("{} for {prefix}", route.version),
                })
                .collect();
            let text = format!("not named, stays on {}", versions.join(", "));
            self.push_line(Effect::Keep, None, service.name.to_string(), text);
        }
        for domain in &self.intent.failure_domains {
            if domains.binary_search(&&*domain.name).is_ok() {
                continue;
            }
            let place = if domain.is_out { "out of" } else { "in" };
            let subject = format!("failure domain {}", domain.name);
            let text = format!("not named, stays {place} service");
            self.push_line(Effect::Keep, None, subject, text);
        }
    }

    /// Returns the plan, or the faults if there are any.
    fn finish(mut self, state: &State) -> Result<Plan, Vec<Fault>> {
        let plan = Plan {
            base: state.intent_version,
            lines: self.lines,
            operations: self.operations,
        };
        // The fold is authoritative and checks more than the planner, such as limits.
        if self.faults.is_empty()
            && let Err(what) = amend::amend(self.intent, &plan.change("", self.now))
        {
            self.faults.push(fault(0, None, what));
        }
        if self.faults.is_empty() {
            return Ok(plan);
        }
        self.faults.sort_by_key(|f| f.line);
        self.faults.truncate(sheet::MAX_FAULTS);
        Err(self.faults)
    }

    /// Version that serves a route according to the intent.
    fn serving(&self, service: &str, route: &str) -> Option<&'a Name> {
        let route = self.intent.service(service)?.route(route)?;
        Some(&route.version)
    }

    /// Status of a sheet's move in the intent in force.
    fn move_status(&self, entry: &sheet::Move) -> MoveStatus<'a> {
        match self.intent.find_move(&entry.id()) {
            Some(known) if known.phase == Phase::Cancelled => MoveStatus::Withdrawn,
            Some(known) => MoveStatus::Known(known),
            None => {
                let serving = self.serving(&entry.service, &entry.route);
                if entry.deadline <= self.now && serving == Some(&entry.to) {
                    MoveStatus::Pruned
                } else {
                    MoveStatus::New
                }
            }
        }
    }

    /// Whether the plan so far withdraws a move.
    fn is_withdrawn(&self, id: &Name) -> bool {
        self.operations
            .iter()
            .any(|operation| matches!(operation, Operation::Cancel { id: other } if other == id))
    }

    /// Whether a move of the sheet starts where a move of the intent ends.
    fn follows(&self, entry: &sheet::Move, other: &intent::Move) -> bool {
        entry.is_for_route(&other.service, &other.route)
            && entry.from == other.to
            && other.deadline <= entry.start
    }

    /// Whether ended moves of the sheet lead from a declared version to the serving one.
    fn is_reached_by_moves(&self, serve: &sheet::Serve, serving: &Name) -> bool {
        let mut moves: Vec<&sheet::Move> = self
            .sheet
            .moves()
            .map(|(_, entry)| entry)
            .filter(|entry| entry.is_for_route(&serve.service, &serve.route))
            .filter(|entry| match self.move_status(entry) {
                MoveStatus::Known(known) => known.phase == Phase::Done,
                MoveStatus::Pruned => true,
                MoveStatus::Withdrawn | MoveStatus::New => false,
            })
            .collect();
        moves.sort_by_key(|entry| entry.start);
        let mut reached = &serve.version;
        for entry in moves {
            if entry.from == *reached {
                reached = &entry.to;
            }
        }
        reached == serving
    }

    /// Whether an active move leads to the declared version.
    fn is_active_move_target(&self, serve: &sheet::Serve) -> bool {
        self.intent.moves.iter().any(|entry| {
            entry.phase.is_active()
                && entry.service == serve.service
                && entry.route == serve.route
                && entry.to == serve.version
        })
    }

    /// Appends a line to the plan.
    fn push_line(
        &mut self,
        effect: Effect,
        line: Option<u64>,
        subject: String,
        text: impl Into<String>,
    ) {
        self.lines.push(Line {
            effect,
            line,
            subject,
            text: text.into(),
        });
    }
}
