//! Platform calls and orders that the authority state asks its ports to carry out.

use crate::authority::lease_record::lease_object;
use crate::authority::lease_state::LeaseAction;
use crate::authority::order_record::order_object;
use crate::authority::order_types::OrderAction;
use crate::names::{CentreName, GroupName, TargetId};
use crate::ports::{ConditionalWrite, ObjectName};

/// Kind of the objects that record how many groups a data centre has.
pub const COUNT_KIND: &str = "groups";

/// Part of the authority state that a platform call belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallTag {
    /// Number of groups of a data centre.
    Count(CentreName),
    /// A group's lease.
    Lease(GroupName),
    /// A group's orders.
    Orders(GroupName),
    /// The plan.
    Plan,
}

/// A platform call or an order to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AuthorityAction {
    /// Read an object; the result goes to
    /// [`crate::authority::AuthorityState::note_read`].
    Read {
        /// Part that makes the call.
        tag: CallTag,
        /// Object to read.
        object: ObjectName,
    },
    /// Write an object; the result goes to
    /// [`crate::authority::AuthorityState::note_write`].
    Write {
        /// Part that makes the call.
        tag: CallTag,
        /// Unique id of the write.
        write_id: String,
        /// The conditional update.
        write: ConditionalWrite,
    },
    /// Send an order if [`crate::authority::AuthorityState::begin_send`] still allows it.
    Send {
        /// Group of the engine.
        group: GroupName,
        /// Engine.
        target: TargetId,
    },
}

pub(crate) fn lease_action(action: LeaseAction) -> AuthorityAction {
    match action {
        LeaseAction::Read(group) => AuthorityAction::Read {
            object: lease_object(&group),
            tag: CallTag::Lease(group),
        },
        LeaseAction::Write {
            group,
            write_id,
            write,
        } => AuthorityAction::Write {
            tag: CallTag::Lease(group),
            write_id,
            write,
        },
    }
}

pub(crate) fn order_action(group: &GroupName, action: OrderAction) -> Option<AuthorityAction> {
    if let OrderAction::Send(target) = action {
        let group = group.clone();
        return Some(AuthorityAction::Send { group, target });
    }
    platform_action(CallTag::Orders(group.clone()), group, action)
}

pub(crate) fn platform_action(
    tag: CallTag,
    group: &GroupName,
    action: OrderAction,
) -> Option<AuthorityAction> {
    match action {
        OrderAction::Read => Some(AuthorityAction::Read {
            object: order_object(group),
            tag,
        }),
        OrderAction::Write { write_id, write } => Some(AuthorityAction::Write {
            tag,
            write_id,
            write,
        }),
        OrderAction::Send(_) => None,
    }
}

pub(crate) fn count_object(centre: &CentreName) -> ObjectName {
    ObjectName {
        kind: COUNT_KIND.to_owned(),
        name: centre.to_string(),
    }
}
