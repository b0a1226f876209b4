//! Order of messages on a link that is too slow for them.

use pistachiowick::gateway::peers::link_queue::{ChangeSenders, LinkQueue, LinkTask};
use pistachiowick::gateway::store_follow::Feed;
use tokio::sync::{mpsc, watch};

const CONFIG: &str = "config";
const TARGET: &str = "target";

/// A link on which a new status message waits whenever the last one was sent.
struct BusyLink {
    status_sender: watch::Sender<u32>,
    queue: LinkQueue<u32, &'static str>,
    changes: ChangeSenders<&'static str>,
    answers: mpsc::UnboundedSender<&'static str>,
}

impl BusyLink {
    fn open() -> Self {
        let (status_sender, status) = watch::channel(0);
        let (answers, urgent) = mpsc::unbounded_channel();
        let changes = ChangeSenders::default();
        let queue = changes.open(status, urgent);
        Self {
            status_sender,
            queue,
            changes,
            answers,
        }
    }

    async fn next(&mut self) -> LinkTask<&'static str> {
        self.status_sender.send_modify(|status| *status += 1);
        let task = self.queue.next().await;
        if task == LinkTask::Status {
            let _ = self.queue.status();
        }
        task
    }

    async fn take(&mut self, count: usize) -> Vec<LinkTask<&'static str>> {
        let mut tasks = Vec::new();
        for _ in 0..count {
            tasks.push(self.next().await);
        }
        tasks
    }
}

// Thousands of targets come and go while the operator changes the configuration, and a new
// status message waits each time one was sent. If status messages were always sent first, a
// member would get nothing else and serve callers by a configuration that is seconds old.
#[tokio::test]
async fn a_configuration_is_sent_before_waiting_changes() {
    let mut link = BusyLink::open();
    (0..1_000).for_each(|_| link.changes.send(Feed::Targets, TARGET));
    link.take(200).await;
    link.changes.send(Feed::Config, CONFIG);
    let tasks = link.take(2).await;
    assert!(tasks.contains(&LinkTask::Change(CONFIG)), "{tasks:?}");
}

#[tokio::test]
async fn changes_and_status_messages_share_a_full_link() {
    let mut link = BusyLink::open();
    (0..1_000).for_each(|_| link.changes.send(Feed::Targets, TARGET));
    let tasks = link.take(1_020).await;
    let status_messages = tasks
        .iter()
        .filter(|task| **task == LinkTask::Status)
        .count();
    let changes = tasks
        .iter()
        .filter(|t| **t == LinkTask::Change(TARGET))
        .count();
    assert_eq!(changes, 1_000);
    assert!(status_messages >= 15, "{status_messages} status messages");
}

#[tokio::test]
async fn a_response_is_sent_before_later_changes() {
    let mut link = BusyLink::open();
    link.changes.send(Feed::Config, CONFIG);
    link.answers.send("answer").expect("the link is open");
    let tasks = link.take(2).await;
    assert_eq!(
        tasks,
        [LinkTask::Message("answer"), LinkTask::Change(CONFIG)]
    );
}

#[tokio::test]
async fn too_many_changes_are_replaced_by_all_objects() {
    let mut link = BusyLink::open();
    (0..5_000).for_each(|_| link.changes.send(Feed::Targets, TARGET));
    assert_eq!(link.next().await, LinkTask::AllObjects);
}

#[tokio::test]
async fn a_member_sends_requests_and_status_messages() {
    let (status_sender, status) = watch::channel(0);
    let (answers, urgent) = mpsc::unbounded_channel();
    let mut queue: LinkQueue<u32, &str> = LinkQueue::without_changes(status, urgent);
    answers.send("question").expect("the link is open");
    status_sender.send_replace(1);
    assert_eq!(queue.next().await, LinkTask::Message("question"));
    assert_eq!(queue.next().await, LinkTask::Status);
}
