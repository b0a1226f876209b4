//! Priority queue for plain services with few targets.
//!
//! One daemon is the queue owner of a service. While the targets of the service are nearly
//! full, the other daemons ask it for a ticket before they send a request.

pub mod ask;
pub mod exchange;
pub mod gate;
pub mod owner;
pub mod returns;
pub mod slots;
pub mod wire;
