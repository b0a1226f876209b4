//! Links between daemons and the messages exchanged over them.

pub mod handshake;
pub mod link;
pub mod requests;
pub mod state;
pub mod wire;
