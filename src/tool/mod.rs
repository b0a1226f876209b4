//! The command-line tool of operators and callers.

pub mod flags;
pub mod items;
pub mod keys;
pub mod output;
pub mod requests;
pub mod run;
pub mod state;
