//! The gRPC service for operators: configuration, drain and restore, status, decisions.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::Stream;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use crate::clock;
use crate::config::catalogue::{HoldSpec, ItemKind, ItemName, ItemSpec};
use crate::control::snapshot::{ControlSnapshot, LeaseView};
use crate::control::{ChangeError, ChangeReport, ControlEvent, ItemChange};
use crate::names::{TargetId, millis};
use crate::pb;
use crate::pb::operations_server::Operations;
use crate::requests::journal::DecisionRecord;
use crate::requests::traffic::TrafficContext;
use crate::rpc::access::check_operator;
use crate::rpc::items::{item_kind, item_reply};

/// Interval at which a watch checks the configuration.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Default and maximum number of decisions returned.
const DEFAULT_DECISIONS: u32 = 50;
const MAX_DECISIONS: u32 = 1_000;

type ItemStream = Pin<Box<dyn Stream<Item = Result<pb::ItemReply, Status>> + Send>>;

/// The service for operators of one daemon.
#[derive(Clone)]
pub struct OperationsService {
    context: Arc<TrafficContext>,
}

impl OperationsService {
    /// Creates the service.
    #[must_use]
    pub fn new(context: Arc<TrafficContext>) -> Self {
        Self { context }
    }

    fn check<T>(&self, request: &Request<T>) -> Result<(), Status> {
        check_operator(request.metadata(), &self.context.settings.access)
    }

    fn snapshot(&self) -> Arc<ControlSnapshot> {
        self.context.control.snapshot.load_full()
    }

    async fn change(&self, change: ItemChange) -> Result<Response<pb::ChangeReply>, Status> {
        let (reply, answer) = oneshot::channel();
        let event = ControlEvent::Change { change, reply };
        let gone = || Status::unavailable("this daemon is shutting down; use another daemon");
        self.context
            .control
            .events
            .send(event)
            .map_err(|_| gone())?;
        let report = answer.await.map_err(|_| gone())?;
        match report {
            Ok(report) => Ok(Response::new(report.into())),
            Err(error) => Err(error.into()),
        }
    }
}

impl From<ChangeReport> for pb::ChangeReply {
    fn from(report: ChangeReport) -> Self {
        Self {
            revision: report.revision,
            confirmed: report.confirmed,
            unconfirmed: report.unconfirmed,
        }
    }
}

impl From<ChangeError> for Status {
    fn from(error: ChangeError) -> Self {
        let text = error.to_string();
        match error {
            ChangeError::Conflict { .. } => Self::aborted(text),
            ChangeError::Invalid { .. } => Self::invalid_argument(text),
            ChangeError::Unavailable { .. } => Self::unavailable(text),
            ChangeError::Unknown { .. } => Self::unknown(text),
        }
    }
}

fn spec_of(item: Option<pb::ConfigItem>) -> Result<ItemSpec, Status> {
    item.unwrap_or_default()
        .try_into()
        .map_err(|error: crate::rpc::items::ItemError| Status::invalid_argument(error.to_string()))
}

fn kind_of(number: i32) -> Result<ItemKind, Status> {
    item_kind(number).map_err(|error| Status::invalid_argument(error.to_string()))
}

#[tonic::async_trait]
impl Operations for OperationsService {
    type WatchItemsStream = ItemStream;

    async fn create_item(
        &self,
        request: Request<pb::CreateItemRequest>,
    ) -> Result<Response<pb::ChangeReply>, Status> {
        self.check(&request)?;
        let spec = spec_of(request.into_inner().item)?;
        self.change(ItemChange {
            item: spec.item_name(),
            spec: Some(spec),
            based_on: 0,
        })
        .await
    }

    async fn change_item(
        &self,
        request: Request<pb::ChangeItemRequest>,
    ) -> Result<Response<pb::ChangeReply>, Status> {
        self.check(&request)?;
        let message = request.into_inner();
        if message.based_on == 0 {
            let text = "based_on is 0; send the revision that the change was based on";
            return Err(Status::invalid_argument(text));
        }
        let spec = spec_of(message.item)?;
        self.change(ItemChange {
            item: spec.item_name(),
            spec: Some(spec),
            based_on: message.based_on,
        })
        .await
    }

    async fn delete_item(
        &self,
        request: Request<pb::DeleteItemRequest>,
    ) -> Result<Response<pb::ChangeReply>, Status> {
        self.check(&request)?;
        let message = request.into_inner();
        self.change(ItemChange {
            item: ItemName {
                kind: kind_of(message.kind)?,
                name: message.name,
            },
            spec: None,
            based_on: message.based_on,
        })
        .await
    }

    async fn read_item(
        &self,
        request: Request<pb::ReadItemRequest>,
    ) -> Result<Response<pb::ItemReply>, Status> {
        self.check(&request)?;
        let message = request.into_inner();
        let name = ItemName {
            kind: kind_of(message.kind)?,
            name: message.name,
        };
        let snapshot = self.snapshot();
        match snapshot.config.items.get(&name) {
            Some(record) => Ok(Response::new(item_reply(&name, record))),
            None => Err(Status::not_found(format!(
                "no {:?} is named {:?}; list the items to see their names",
                name.kind, name.name
            ))),
        }
    }

    async fn list_items(
        &self,
        request: Request<pb::ListItemsRequest>,
    ) -> Result<Response<pb::ListItemsReply>, Status> {
        self.check(&request)?;
        let kind = kind_of(request.into_inner().kind)?;
        let snapshot = self.snapshot();
        let of_kind = snapshot.config.items.iter().filter(|(n, _)| n.kind == kind);
        let existing = of_kind.filter(|(_, record)| record.spec.is_some());
        let items = existing
            .map(|(name, record)| item_reply(name, record))
            .collect();
        Ok(Response::new(pb::ListItemsReply { items }))
    }

    async fn watch_items(
        &self,
        request: Request<pb::ListItemsRequest>,
    ) -> Result<Response<ItemStream>, Status> {
        self.check(&request)?;
        let kind = kind_of(request.into_inner().kind)?;
        let (events, receiver) = mpsc::channel(64);
        tokio::spawn(watch_items(self.clone(), kind, events));
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }

    async fn drain_target(
        &self,
        request: Request<pb::TargetRequest>,
    ) -> Result<Response<pb::ChangeReply>, Status> {
        self.check(&request)?;
        let message = request.into_inner();
        let target = TargetId::from(message.target);
        if !self.snapshot().fleet.targets.contains_key(&target) {
            let text =
                format!("no target is named {target:?}; see the status for the names of targets");
            return Err(Status::not_found(text));
        }
        let spec = ItemSpec::Hold(HoldSpec {
            target,
            reason: message.reason,
        });
        self.change(ItemChange {
            item: spec.item_name(),
            spec: Some(spec),
            based_on: 0,
        })
        .await
    }

    async fn restore_target(
        &self,
        request: Request<pb::TargetRequest>,
    ) -> Result<Response<pb::ChangeReply>, Status> {
        self.check(&request)?;
        let item = ItemName {
            kind: ItemKind::Hold,
            name: request.into_inner().target,
        };
        let snapshot = self.snapshot();
        let record = snapshot.config.items.get(&item);
        let Some(record) = record.filter(|r| r.spec.is_some()) else {
            let text = format!("target {:?} is not drained", item.name);
            return Err(Status::failed_precondition(text));
        };
        self.change(ItemChange {
            item,
            spec: None,
            based_on: record.revision,
        })
        .await
    }

    async fn status(
        &self,
        request: Request<pb::StatusRequest>,
    ) -> Result<Response<pb::StatusReply>, Status> {
        self.check(&request)?;
        Ok(Response::new(status_reply(&self.context, &self.snapshot())))
    }

    async fn explain(
        &self,
        request: Request<pb::ExplainRequest>,
    ) -> Result<Response<pb::ExplainReply>, Status> {
        self.check(&request)?;
        let message = request.into_inner();
        let limit = match message.most {
            0 => DEFAULT_DECISIONS,
            most => most.min(MAX_DECISIONS),
        };
        let records = self
            .context
            .journal
            .recent(&message.subject, limit as usize);
        let decisions = records.into_iter().map(Into::into).collect();
        Ok(Response::new(pb::ExplainReply { decisions }))
    }
}

async fn watch_items(
    service: OperationsService,
    kind: ItemKind,
    events: mpsc::Sender<Result<pb::ItemReply, Status>>,
) {
    let mut seen = indexmap::IndexMap::<ItemName, u64>::new();
    while !events.is_closed() {
        let snapshot = service.snapshot();
        let of_kind = snapshot.config.items.iter().filter(|(n, _)| n.kind == kind);
        for (name, record) in of_kind {
            if seen.get(name).is_some_and(|r| *r >= record.revision) {
                continue;
            }
            seen.insert(name.clone(), record.revision);
            if events.send(Ok(item_reply(name, record))).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

fn status_reply(context: &TrafficContext, snapshot: &ControlSnapshot) -> pb::StatusReply {
    let now = clock::mono_now();
    let fleet = &snapshot.fleet;
    let targets = fleet.targets.values().map(|target| {
        let report = target.report.as_ref();
        pb::TargetStatus {
            target: target.id.to_string(),
            address: target.address.clone(),
            data_centre: target.data_centre.to_string(),
            state: target.state.as_str().to_owned(),
            role: report.map_or_else(String::new, |r| format!("{:?}", r.role).to_lowercase()),
            models: report.map_or_else(Vec::new, |r| r.models.clone()),
            own_in_flight: saturating_u32(context.dispatcher.local_in_flight(&target.id) as u64),
            reported_in_flight: report.map_or(0, |r| r.in_flight),
            report_age_ms: report.map_or(0, |r| saturating_u32(millis(now.since(r.taken_at)))),
        }
    });
    let daemons = fleet.daemons.values().map(|daemon| pb::DaemonStatus {
        daemon: daemon.id.to_string(),
        address: daemon.address.clone(),
        data_centre: daemon.data_centre.to_string(),
        state: daemon.state.as_str().to_owned(),
        incarnation: daemon.incarnation.0,
    });
    pb::StatusReply {
        daemon: context.daemon.to_string(),
        data_centre: context.settings.data_centre.to_string(),
        ready: snapshot.ready && !snapshot.stopping,
        platform_reachable: snapshot.platform_reachable,
        targets: targets.collect(),
        leases: snapshot.leases.iter().map(lease_status).collect(),
        daemons: daemons.collect(),
    }
}

fn lease_status(lease: &LeaseView) -> pb::LeaseStatus {
    let now = clock::mono_now();
    pb::LeaseStatus {
        group: lease.group.to_string(),
        holder: lease.holder.to_string(),
        fence: lease.fence.0,
        remaining_ms: lease
            .authority_deadline
            .map_or(0, |until| saturating_u32(millis(until.since(now)))),
    }
}

impl From<DecisionRecord> for pb::Decision {
    fn from(record: DecisionRecord) -> Self {
        Self {
            at_ms: record.at.0,
            kind: record.kind.as_str().to_owned(),
            subject: record.subject,
            reason: record.reason,
        }
    }
}

fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
