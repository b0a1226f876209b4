//! The operators' client: configuration, state and reasons.

use std::error::Error;

use tonic::Streaming;
use tonic::transport::Channel;

use crate::client::ClientOptions;
use crate::client::error::{CallFailure, ClientError};
use crate::client::links::{DaemonLink, LinkPool};
use crate::pb;
use crate::pb::operations_client::OperationsClient;

type OperationsChannel = OperationsClient<Channel>;

/// An operator's client over the addresses given.
///
/// Reads go to another daemon when one fails. Changes are sent once: when their
/// reply is lost the error says so, and a read tells whether they took effect.
pub struct OperatorClient {
    links: LinkPool,
}

impl OperatorClient {
    /// Creates a client and connects to one of the daemons.
    ///
    /// # Errors
    ///
    /// Returns an error for options that cannot be used and when no daemon can be reached.
    pub async fn connect(options: &ClientOptions) -> Result<Self, ClientError> {
        let client = Self {
            links: LinkPool::new(options)?,
        };
        client.links.pick_given().await?;
        Ok(client)
    }

    /// Creates an item.
    ///
    /// # Errors
    ///
    /// Returns the daemon's refusal, or an error that says whether the change was sent.
    pub async fn create(&self, item: pb::ConfigItem) -> Result<pb::ChangeReply, ClientError> {
        let create = pb::CreateItemRequest { item: Some(item) };
        self.once(|mut client: OperationsChannel| {
            let request = self.links.with_key(create);
            async move { client.create_item(request).await }
        })
        .await
    }

    /// Changes an item that still has revision `based_on`.
    ///
    /// # Errors
    ///
    /// Returns the daemon's refusal, or an error that says whether the change was sent.
    pub async fn change(
        &self,
        item: pb::ConfigItem,
        based_on: u64,
    ) -> Result<pb::ChangeReply, ClientError> {
        let change = pb::ChangeItemRequest {
            item: Some(item),
            based_on,
        };
        self.once(|mut client: OperationsChannel| {
            let request = self.links.with_key(change);
            async move { client.change_item(request).await }
        })
        .await
    }

    /// Deletes an item that still has revision `based_on`.
    ///
    /// # Errors
    ///
    /// Returns the daemon's refusal, or an error that says whether the change was sent.
    pub async fn delete(
        &self,
        kind: pb::ItemKind,
        name: &str,
        based_on: u64,
    ) -> Result<pb::ChangeReply, ClientError> {
        let delete = pb::DeleteItemRequest {
            kind: kind.into(),
            name: name.to_owned(),
            based_on,
        };
        self.once(|mut client: OperationsChannel| {
            let request = self.links.with_key(delete);
            async move { client.delete_item(request).await }
        })
        .await
    }

    /// Reads an item.
    ///
    /// # Errors
    ///
    /// Returns the daemon's refusal, or an error when no daemon answers.
    pub async fn read(&self, kind: pb::ItemKind, name: &str) -> Result<pb::ItemReply, ClientError> {
        let read = pb::ReadItemRequest {
            kind: kind.into(),
            name: name.to_owned(),
        };
        self.repeat(|mut client: OperationsChannel| {
            let request = self.links.with_key(read.clone());
            async move { client.read_item(request).await }
        })
        .await
    }

    /// Lists the items of a kind.
    ///
    /// # Errors
    ///
    /// Returns the daemon's refusal, or an error when no daemon answers.
    pub async fn list(&self, kind: pb::ItemKind) -> Result<Vec<pb::ItemReply>, ClientError> {
        let list = pb::ListItemsRequest { kind: kind.into() };
        let reply = self
            .repeat(|mut client: OperationsChannel| {
                let request = self.links.with_key(list);
                async move { client.list_items(request).await }
            })
            .await?;
        Ok(reply.items)
    }

    /// Streams every item of a kind as it stands, then each change.
    ///
    /// # Errors
    ///
    /// Returns the daemon's refusal, or an error when no daemon answers.
    pub async fn watch(&self, kind: pb::ItemKind) -> Result<ItemWatch, ClientError> {
        let list = pb::ListItemsRequest { kind: kind.into() };
        let items = self
            .repeat(|mut client: OperationsChannel| {
                let request = self.links.with_key(list);
                async move { client.watch_items(request).await }
            })
            .await?;
        Ok(ItemWatch { items })
    }

    /// Takes a target out of use.
    ///
    /// # Errors
    ///
    /// Returns the daemon's refusal, or an error that says whether the change was sent.
    pub async fn drain(&self, target: &str, reason: &str) -> Result<pb::ChangeReply, ClientError> {
        let drain = target_request(target, reason);
        self.once(|mut client: OperationsChannel| {
            let request = self.links.with_key(drain);
            async move { client.drain_target(request).await }
        })
        .await
    }

    /// Puts a drained target back into use.
    ///
    /// # Errors
    ///
    /// Returns the daemon's refusal, or an error that says whether the change was sent.
    pub async fn restore(
        &self,
        target: &str,
        reason: &str,
    ) -> Result<pb::ChangeReply, ClientError> {
        let restore = target_request(target, reason);
        self.once(|mut client: OperationsChannel| {
            let request = self.links.with_key(restore);
            async move { client.restore_target(request).await }
        })
        .await
    }

    /// Reads the state of fleet, leases and daemons as one daemon knows it.
    ///
    /// # Errors
    ///
    /// Returns the daemon's refusal, or an error when no daemon answers.
    pub async fn status(&self) -> Result<pb::StatusReply, ClientError> {
        self.repeat(|mut client: OperationsChannel| {
            let request = self.links.with_key(pb::StatusRequest {});
            async move { client.status(request).await }
        })
        .await
    }

    /// Reads recent decisions and their reasons from every address given.
    ///
    /// Each daemon remembers its own decisions only, so one alone cannot explain
    /// what another did. Each answer is newest first.
    pub async fn explain(&self, subject: &str, most: u32) -> Vec<DaemonDecisions> {
        let explain = pb::ExplainRequest {
            subject: subject.to_owned(),
            most,
        };
        let mut answers = Vec::new();
        for address in self.links.given() {
            answers.push(DaemonDecisions {
                address: address.clone(),
                decisions: self.explain_at(address, explain.clone()).await,
            });
        }
        answers
    }

    async fn explain_at(
        &self,
        address: &str,
        explain: pb::ExplainRequest,
    ) -> Result<Vec<pb::Decision>, ClientError> {
        let channel = self.links.open(address).await?;
        let request = self.links.with_key(explain);
        let reply = OperationsClient::new(channel).explain(request).await;
        reply
            .map(|reply| reply.into_inner().decisions)
            .map_err(|status| CallFailure::from(&status).into())
    }

    /// Makes a call that must not be repeated.
    async fn once<T>(
        &self,
        call: impl AsyncFnOnce(OperationsChannel) -> Result<tonic::Response<T>, tonic::Status>,
    ) -> Result<T, ClientError> {
        let link = self.links.pick_given().await?;
        match call(OperationsClient::new(link.channel)).await {
            Ok(response) => Ok(response.into_inner()),
            Err(status) => Err(change_failure(&status)),
        }
    }

    /// Makes a call that only reads, once on each address given.
    async fn repeat<T, F>(&self, call: impl Fn(OperationsChannel) -> F) -> Result<T, ClientError>
    where
        F: Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    {
        let mut tries_left = self.links.given().len();
        loop {
            let DaemonLink { address, channel } = self.links.pick_given().await?;
            tries_left = tries_left.saturating_sub(1);
            let failure = match call(OperationsClient::new(channel)).await {
                Ok(response) => return Ok(response.into_inner()),
                Err(status) => CallFailure::from(&status),
            };
            if matches!(failure, CallFailure::Rejected(..)) || tries_left == 0 {
                return Err(failure.into());
            }
            self.links.avoid(&address).await;
        }
    }
}

/// What one daemon decided, and why.
#[derive(Clone, Debug)]
pub struct DaemonDecisions {
    /// Address asked.
    pub address: String,
    /// Decisions, newest first, or why they could not be read.
    pub decisions: Result<Vec<pb::Decision>, ClientError>,
}

/// Items of a kind and their changes.
#[derive(Debug)]
pub struct ItemWatch {
    items: Streaming<pb::ItemReply>,
}

impl ItemWatch {
    /// Returns the next item; `None` when the daemon ended the watch.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is lost; a new watch starts from the whole state.
    pub async fn next(&mut self) -> Result<Option<pb::ItemReply>, ClientError> {
        let item = self.items.message().await;
        item.map_err(|status| CallFailure::from(&status).into())
    }
}

/// Tells a daemon's own "unavailable", which says that nothing was changed, from
/// a broken connection, which says nothing. Only the latter has a cause in this process.
fn change_failure(status: &tonic::Status) -> ClientError {
    let from_daemon = status.source().is_none();
    if from_daemon && status.code() == tonic::Code::Unavailable {
        return ClientError::Rejected {
            code: status.code(),
            reason: status.message().to_owned(),
        };
    }
    CallFailure::from(status).into()
}

fn target_request(target: &str, reason: &str) -> pb::TargetRequest {
    pb::TargetRequest {
        target: target.to_owned(),
        reason: reason.to_owned(),
    }
}
