//! What can go wrong between a caller and the daemons.

use thiserror::Error;

/// Failures of the client. None of them stands for an outcome of the request.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ClientError {
    /// An address cannot be used.
    #[error("address {found:?} cannot be used ({reason}); give an IP number and port")]
    Address {
        /// Address found.
        found: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The answer is not the one the daemon announced.
    #[error("the answer is damaged: {reason}; discard it and ask again")]
    Damaged {
        /// What does not agree.
        reason: String,
    },
    /// The key has characters that cannot be sent.
    #[error(
        "the key holds characters that cannot be sent; use the key as `pistachiowick key` printed it"
    )]
    Key,
    /// The connection ended before the reply; the call may have had its effect.
    #[error("the reply was lost ({reason}); read the state before trying again")]
    Lost {
        /// What happened.
        reason: String,
    },
    /// No address was given.
    #[error("no address given; name at least one daemon's IP number and port")]
    NoAddress,
    /// No daemon was reached and nothing was sent.
    #[error("no daemon was reached ({reason}); nothing was sent, try again later")]
    NotSent {
        /// What happened last.
        reason: String,
    },
    /// A daemon refused the call.
    #[error("the daemon refused the call ({code:?}): {reason}")]
    Rejected {
        /// Status code of the refusal.
        code: tonic::Code,
        /// Reason and remedy as the daemon gave them.
        reason: String,
    },
    /// The certificate cannot be used.
    #[error("the certificate authority cannot be used ({reason}); give it as PEM text")]
    Tls {
        /// What is wrong with it.
        reason: String,
    },
}

/// What a failed call says about its effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum CallFailure {
    /// The connection failed or the daemon went away; the call may have had its effect.
    Broken(String),
    /// The daemon has no room now; the call had no effect.
    Busy(String),
    /// The daemon refused the call for good; it had no effect.
    Rejected(tonic::Code, String),
}

impl From<&tonic::Status> for CallFailure {
    fn from(status: &tonic::Status) -> Self {
        use tonic::Code;
        let reason = status.message().to_owned();
        match status.code() {
            Code::ResourceExhausted => Self::Busy(reason),
            code @ (Code::Aborted
            | Code::AlreadyExists
            | Code::FailedPrecondition
            | Code::InvalidArgument
            | Code::NotFound
            | Code::OutOfRange
            | Code::PermissionDenied
            | Code::Unauthenticated
            | Code::Unimplemented) => Self::Rejected(code, reason),
            code => Self::Broken(format!("{code:?}: {reason}")),
        }
    }
}

impl From<CallFailure> for ClientError {
    fn from(failure: CallFailure) -> Self {
        match failure {
            CallFailure::Broken(reason) => Self::Lost { reason },
            CallFailure::Busy(reason) => Self::Rejected {
                code: tonic::Code::ResourceExhausted,
                reason,
            },
            CallFailure::Rejected(code, reason) => Self::Rejected { code, reason },
        }
    }
}
