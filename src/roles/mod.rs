//! Assignment of engine roles by a forecast of the prefill and decode load.

pub mod capacity;
pub mod mix;
pub mod plan;
pub mod plan_inputs;
pub mod plan_store;
pub mod work_mix;
