//! Configuration: items, their validation, and their storage in buckets on the platform.

pub mod buckets;
pub mod catalogue;
pub mod checks;
pub mod store;
pub mod view;
