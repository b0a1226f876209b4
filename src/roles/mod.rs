//! Engine roles by forecast of the mix of work.

pub mod capacity;
pub mod mix;
pub mod plan;
pub mod plan_book;
pub mod plan_inputs;
pub mod work_mix;
