//! Mistakes planted on purpose, to show that each check of a randomised run can fail.

use pistachiowick::names::{FenceNumber, GroupName};
use pistachiowick::targets::wire::EngineRole;

use crate::engine_books::OrderBook;
use crate::limit_book::LimitedArrival;
use crate::load::PlannedRequest;
use crate::load_tally::RequestEnd;
use crate::prove_books::{AskEnd, RunBooks};

/// A mistake of a stand-in or caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlantedMistake {
    /// An engine obeys an order older than another one it has seen.
    ConflictingOrders,
    /// A daemon shows an item at an older revision.
    ConfigReverts,
    /// A stream breaks at a daemon that nobody killed.
    Cut,
    /// A service counts one run twice.
    Doubled,
    /// An answer is told as "not run".
    FalseNotRun,
    /// A request gets no final outcome.
    Hung,
    /// An engine gets work a minute after it was told to leave.
    LateNewWork,
    /// An engine gets many requests while it limits their rate.
    OverLimit,
    /// A caller awaits more bytes than an engine sends.
    Short,
    /// A daemon counts a violation.
    Violation,
    /// A byte of an answer is flipped.
    Wrong,
}

impl PlantedMistake {
    /// Every mistake.
    pub const ALL: [Self; 11] = [
        Self::ConflictingOrders,
        Self::ConfigReverts,
        Self::Cut,
        Self::Doubled,
        Self::FalseNotRun,
        Self::Hung,
        Self::LateNewWork,
        Self::OverLimit,
        Self::Short,
        Self::Violation,
        Self::Wrong,
    ];

    /// Returns the mistake's name on the command line.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ConflictingOrders => "conflicting_orders",
            Self::ConfigReverts => "config_reverts",
            Self::Cut => "cut_by_planned_change",
            Self::Doubled => "doubled",
            Self::FalseNotRun => "false_not_run",
            Self::Hung => "hung",
            Self::LateNewWork => "late_new_work",
            Self::OverLimit => "over_limit",
            Self::Short => "short",
            Self::Violation => "violations",
            Self::Wrong => "wrong",
        }
    }

    /// Returns the mistake of a name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|plant| plant.as_str() == name)
    }

    /// Plants a mistake into what the callers await.
    pub fn plant_requests(self, planned: &mut [PlannedRequest]) {
        let streams = planned.iter_mut().filter(|p| p.submit.class == "check");
        for request in streams {
            match self {
                Self::Short => request.expected.extend_from_slice(b"more"),
                Self::Wrong => request.expected[0] ^= 1,
                _ => return,
            }
        }
    }

    /// Plants a mistake into the books.
    pub fn plant_books(self, books: &mut RunBooks) {
        match self {
            Self::ConflictingOrders => plant_order(books),
            Self::ConfigReverts => {
                for shown in books.shown.values_mut().flat_map(|i| i.values_mut()) {
                    shown.revision = 0;
                }
            }
            Self::Cut => plant_end(books, &AskEnd::Broken),
            Self::Doubled => plant_run(books),
            Self::FalseNotRun => plant_end(books, &AskEnd::Final(RequestEnd::Refused)),
            Self::Hung => {
                if let Some(request) = books.requests.first_mut() {
                    request.end = None;
                }
            }
            Self::LateNewWork => {
                if let Some(engine) = books.engines.first_mut() {
                    engine.books.starts_after_leave.push(60_000);
                }
            }
            Self::OverLimit => plant_arrivals(books),
            Self::Violation => books.violations += 1,
            Self::Short | Self::Wrong => {}
        }
    }
}

/// Rewrites the end of the first answered ask at a daemon that was not killed.
fn plant_end(books: &mut RunBooks, end: &AskEnd) {
    let lives = books
        .lives
        .iter()
        .filter(|life| life.killed_at_ms.is_none());
    let lasting: Vec<&str> = lives.map(|life| life.address.as_str()).collect();
    let keyed = books.requests.iter_mut().filter(|r| r.kind.is_keyed());
    let answered = |ask: &&mut crate::prove_books::AskBook| {
        ask.end == AskEnd::Final(RequestEnd::Answered)
            && ask.first_submission
            && lasting.contains(&ask.address.as_str())
    };
    if let Some(ask) = keyed.flat_map(|r| &mut r.asks).find(answered) {
        ask.end = end.clone();
    }
}

fn plant_arrivals(books: &mut RunBooks) {
    let arrivals = (0..12).map(|number| LimitedArrival {
        at_ms: 10_000 + number * 100,
        named_at_ms: 5_000,
        rate: 1.0,
    });
    if let Some(engine) = books.engines.first_mut() {
        engine.books.limited.extend(arrivals);
    }
}

fn plant_run(books: &mut RunBooks) {
    let mut logs = books.services.iter_mut().map(|s| &mut s.books.run_log);
    if let Some(log) = logs.find(|log| !log.is_empty()) {
        log.push(log[0].clone());
    }
}

fn plant_order(books: &mut RunBooks) {
    let Some(engine) = books.engines.first_mut() else {
        return;
    };
    engine.books.orders.push(OrderBook {
        id: "planted".to_owned(),
        fence: FenceNumber(1),
        highest_before: FenceNumber(2),
        group: GroupName::from("planted"),
        role: EngineRole::Mixed,
        models: Vec::new(),
        at_ms: 0,
        outstanding: None,
        obeyed: true,
    });
}
