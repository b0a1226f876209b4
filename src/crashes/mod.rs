//! Work that ends the targets that run it.
//!
//! A target may end under a request, and with it everything that it runs. The caller sends
//! the request again, as a new attempt, to any daemon. So what is remembered is the work,
//! by a digest that its attempts share, with the lives of targets that ended under it
//! ([`book`]). Daemons tell each other ([`news`]); work that ended three targets is held:
//! it is sent no more.

pub mod book;
pub mod news;
pub mod work_digest;
