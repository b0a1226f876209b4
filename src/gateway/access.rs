//! Determines the workspace of a request from the key that its caller sends.

use std::time::Duration;

use crate::clock;
use crate::gateway::daemon::Gateway;
use crate::gateway::model::{CallerAccess, CallerRequest, RouteRule};
use crate::gateway::reply::{Failure, FailureKind};
use crate::gateway::routes::RouteTable;

impl Gateway {
    /// Checks the caller's key; the rank of its workspace overrides the route's.
    ///
    /// # Errors
    ///
    /// Returns the failure to answer with if the key belongs to no workspace or cannot be
    /// confirmed at present.
    pub(super) fn check_access(
        &self,
        routes: &RouteTable,
        route: &mut RouteRule,
        caller: &CallerRequest,
    ) -> Result<CallerAccess, Failure> {
        if !routes.requires_keys() {
            return Ok(CallerAccess::Open);
        }
        if route.public {
            return Ok(CallerAccess::Public);
        }
        if !self.confirms_keys(clock::mono_now()) {
            count_refusal("unconfirmed");
            return Err(Failure::refused(UNCONFIRMED, UNCONFIRMED_WAIT));
        }
        let unknown = || {
            count_refusal("unknown");
            Failure::new(FailureKind::UnknownKey, UNKNOWN_KEY)
        };
        let key = caller.key.ok_or_else(unknown)?;
        let owner = routes.owner_of(&key).ok_or_else(unknown)?;
        route.urgency = owner.urgency.unwrap_or(route.urgency);
        Ok(CallerAccess::Workspace {
            name: owner.workspace.clone(),
            key,
        })
    }

    /// Checks that a request may still be sent to a target.
    ///
    /// # Errors
    ///
    /// Returns the refusal, so that the request is not tried on one engine after another.
    pub(super) fn recheck_access(&self, access: &CallerAccess) -> Result<(), Failure> {
        if self.may_still_send(access) {
            return Ok(());
        }
        Err(Failure::refused(UNCONFIRMED, UNCONFIRMED_WAIT))
    }

    /// Returns whether a request may still be sent to a target on behalf of its workspace.
    ///
    /// It may have waited for an engine or its prefill for seconds, in which its key may have
    /// been revoked or this daemon disconnected.
    pub(super) fn may_still_send(&self, access: &CallerAccess) -> bool {
        let CallerAccess::Workspace { name, key } = access else {
            return true;
        };
        let view = self.view();
        let owner = view.routes.as_ref().and_then(|r| r.owner_of(key));
        self.confirms_keys(clock::mono_now()) && owner.is_some_and(|o| o.workspace == *name)
    }
}

fn count_refusal(reason: &'static str) {
    metrics::counter!("pistachiowick_keyed_refusals_total", "reason" => reason).increment(1);
}

const UNKNOWN_KEY: &str = "the request has no valid workspace key; send exactly one valid key";
const UNCONFIRMED: &str = "this daemon cannot confirm at present whether keys are still valid; \
    retry after the stated time or at another daemon";
/// Retry-after time of a daemon that cannot confirm keys. Once the store is back, keys are
/// confirmed again within a second.
const UNCONFIRMED_WAIT: Duration = Duration::from_millis(800);
