//! Configuration: items, checks, buckets and their store.

pub mod buckets;
pub mod catalogue;
pub mod checks;
pub mod store;
pub mod view;
