//! The choice of cryptography for TLS.

/// Names the cryptography that this process uses.
///
/// The libraries for calls in and out each bring one of their own; with two to choose
/// from and none named, the first connection would panic. Safe to call again.
pub fn install_provider() {
    // An error says that one is installed already, by an earlier call.
    let _ = rustls::crypto::ring::default_provider().install_default();
}
