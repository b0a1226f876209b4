//! Decisions on one request: queueing, placement, cost and retries.

pub mod candidates;
pub mod cost;
pub mod fair_queue;
pub mod placement;
pub mod prefix_index;
pub mod retry_budget;
pub mod scheduler;
pub mod shares;
pub mod turn_gate;
