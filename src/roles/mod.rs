//! Assignment of engine roles by a forecast of the prefill and decode load.

pub mod capacity;
pub mod mix;
pub mod plan;
pub mod plan_book;
pub mod plan_inputs;
pub mod work_mix;
