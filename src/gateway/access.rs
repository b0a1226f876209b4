//! Decides whom a request is for, by the key that its caller shows.

use std::time::Duration;

use crate::clock;
use crate::gateway::daemon::Gateway;
use crate::gateway::model::{CallerAccess, CallerRequest, RouteRule};
use crate::gateway::reply::{Failure, FailureKind};
use crate::gateway::routes::RouteTable;

impl Gateway {
    /// Checks the caller's key; the rank of its workspace goes before the route's.
    ///
    /// # Errors
    ///
    /// Returns the failure that a caller without a key of a workspace is told.
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

    /// Refuses a request that may not be sent on any more.
    ///
    /// # Errors
    ///
    /// Returns the refusal; a choice of engines would try one after the other instead.
    pub(super) fn recheck_access(&self, access: &CallerAccess) -> Result<(), Failure> {
        if self.may_still_send(access) {
            return Ok(());
        }
        Err(Failure::refused(UNCONFIRMED, UNCONFIRMED_WAIT))
    }

    /// Whether a request may still be sent on for whom it was taken.
    ///
    /// It may have waited for an engine or its prompt's reading for seconds, in which its
    /// key was taken away or this daemon was cut off.
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

const UNKNOWN_KEY: &str = "the request shows no key of a workspace; send one key that is in force";
const UNCONFIRMED: &str =
    "whether keys are still in force cannot be known here at present; come back or ask elsewhere";
/// Time to come back to a daemon that cannot confirm keys. The store and the daemons that
/// it serves confirm them again within a second of its return.
const UNCONFIRMED_WAIT: Duration = Duration::from_millis(800);
