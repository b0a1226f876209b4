//! Links between daemons and what goes over them.

pub mod handshake;
pub mod link;
pub mod requests;
pub mod state;
pub mod wire;
