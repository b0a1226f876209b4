//! Processing of one request, from its admission to its final outcome.

pub mod access;
pub mod answer;
pub mod answer_sink;
pub mod attempt;
pub mod claimant;
pub mod crash_watch;
pub mod dispatch;
pub mod journal;
pub mod owner_cache;
pub mod request;
pub mod resume_token;
pub mod run_call;
pub mod run_once;
pub mod run_resume;
pub mod run_stream;
pub mod statement_watch;
pub mod traffic;
