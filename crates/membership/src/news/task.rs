//! The task that disseminates news items to peers.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
};
use verbenahead_core::{
    HashMap,
    timer::{Tick, TimerService},
};

use super::{
    handle::{Command, NewsHandle, RefreshReport},
    item::NewsItem,
    options::NewsOptions,
    outbox::{Outbox, Push},
    state::{NewsSnapshot, NewsState},
};
use crate::{
    errors::Result, member::Member, message::StateDigest, probe_ring::probe_targets,
    time::WallClock, transport::PeerTransport,
};

/// Capacity of the command queue, in commands.
const COMMAND_QUEUE: usize = 1_024;

/// Maximum number of concurrent exchanges in one refresh.
const MAX_REFRESH_EXCHANGES: usize = 32;

/// `NewsTaskArgs` holds the configuration and the channels of the task.
pub(crate) struct NewsTaskArgs {
    pub(crate) options: NewsOptions,
    pub(crate) transport: Arc<dyn PeerTransport>,
    pub(crate) clock: WallClock,
    pub(crate) members: watch::Receiver<Arc<Vec<Member>>>,
    /// Id of this node.
    pub(crate) me: verbenahead_core::NodeId,
    /// Publishes the digest of this node's news.
    pub(crate) digest: watch::Sender<StateDigest>,
    /// Yields the addresses of peers whose news digest differs.
    pub(crate) digest_mismatches: mpsc::Receiver<SocketAddr>,
}

/// Starts the task. It ends when all handles are dropped.
pub(crate) fn spawn(args: NewsTaskArgs, timer: &TimerService) -> NewsHandle {
    let (commands_tx, commands) = mpsc::channel(COMMAND_QUEUE);
    let (snapshots_tx, snapshots) = watch::channel(Arc::new(NewsSnapshot::default()));
    let period = args.options.repair_period;
    let ticks = timer.subscribe(period, period);
    let options = &args.options;
    let task = NewsTask {
        state: NewsState::new(options.upstream_retention),
        outbox: Outbox::new(
            options.max_concurrent_pushes,
            options.max_push_items,
            options.max_push_attempts,
        ),
        snapshots: snapshots_tx,
        calls: JoinSet::new(),
        mismatched_peer: None,
        is_exchanging: false,
        refreshes: HashMap::default(),
        next_refresh: 0,
        args,
    };
    tokio::spawn(task.run(commands, ticks));
    NewsHandle::new(commands_tx, snapshots)
}

/// `Completion` is the result of a network call that has ended.
enum Completion {
    Pushed(Push, Result<()>),
    Exchanged(Result<Vec<NewsItem>>),
    Refreshed(u64, Result<Vec<NewsItem>>),
}

struct Refresh {
    /// Peers that no exchange was started with yet.
    waiting: VecDeque<SocketAddr>,
    in_flight: usize,
    report: RefreshReport,
    reply: oneshot::Sender<RefreshReport>,
}

struct NewsTask {
    args: NewsTaskArgs,
    state: NewsState,
    outbox: Outbox,
    snapshots: watch::Sender<Arc<NewsSnapshot>>,
    calls: JoinSet<Completion>,
    /// Last peer whose news digest differed.
    mismatched_peer: Option<SocketAddr>,
    /// Whether an exchange that a digest mismatch triggered is in progress.
    is_exchanging: bool,
    refreshes: HashMap<u64, Refresh>,
    next_refresh: u64,
}

impl NewsTask {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>, mut ticks: mpsc::Receiver<Tick>) {
        loop {
            // The fixed polling order makes simulations with a given seed reproducible.
            tokio::select! {
                biased;
                Some(_) = ticks.recv() => self.tick(),
                Some(peer) = self.args.digest_mismatches.recv() => self.mismatched_peer = Some(peer),
                Some(completion) = self.calls.join_next() => {
                    if let Ok(completion) = completion {
                        self.handle_completion(completion);
                    }
                }
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => break,
                },
            }
            self.start_pushes();
        }
        while self.calls.join_next().await.is_some() {}
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Publish(items, reply) => {
                self.publish(&items);
                let _ = reply.send(());
            }
            Command::Received(items, reply) => {
                self.merge_and_forward(&items);
                let _ = reply.send(());
            }
            Command::Exchanged(items, reply) => {
                self.merge_and_forward(&items);
                let _ = reply.send(self.state.items());
            }
            Command::Refresh(reply) => self.refresh(reply),
        }
    }

    /// Drops expired news, retries failed pushes and starts an exchange with a peer whose digest
    /// differs. Deferring the exchange to the tick keeps pushes that are still in flight from
    /// triggering exchanges.
    fn tick(&mut self) {
        if self.state.expire(self.args.clock.now()) {
            self.publish_snapshot();
        }
        self.outbox.retry();
        if self.is_exchanging {
            return;
        }
        let Some(peer) = self.mismatched_peer.take() else {
            return;
        };
        self.is_exchanging = true;
        let exchange = self.exchange(peer);
        self.calls
            .spawn(async move { Completion::Exchanged(exchange.await) });
    }

    fn handle_completion(&mut self, completion: Completion) {
        match completion {
            Completion::Pushed(push, result) => {
                if let Err(e) = &result {
                    tracing::debug!(peer = %push.node, error = %e, "push of news failed");
                }
                self.outbox.finished(&push, result.is_ok());
            }
            Completion::Exchanged(result) => {
                self.is_exchanging = false;
                self.merge_and_forward(&result.unwrap_or_default());
            }
            Completion::Refreshed(id, result) => self.refreshed(id, result),
        }
    }

    /// Merges items that originate at this node and pushes those that are new.
    fn publish(&mut self, items: &[NewsItem]) {
        let new = self.merge(items);
        let options = &self.args.options;
        let peers = self.args.members.borrow().len().saturating_sub(1);
        if options
            .push_policy
            .pushes_to_all(peers, options.max_direct_peers)
        {
            self.push_to_all(&new);
        } else {
            self.push_to_ring_targets(&new);
        }
    }

    /// Merges items received from a peer and forwards those that are new.
    fn merge_and_forward(&mut self, items: &[NewsItem]) {
        let new = self.merge(items);
        if self.args.options.push_policy.forwards() {
            self.push_to_ring_targets(&new);
        }
    }

    fn push_to_all(&mut self, items: &[NewsItem]) {
        let mut peers = self.peers();
        // Peers that are not alive come last, because a push to one may take the whole timeout.
        peers.sort_by_key(|peer| !peer.is_alive());
        self.push(&peers, items);
    }

    fn push_to_ring_targets(&mut self, items: &[NewsItem]) {
        if items.is_empty() {
            return;
        }
        let mut peers = self.peers();
        let nodes: Vec<_> = peers.iter().map(|peer| peer.node.clone()).collect();
        let targets = probe_targets(&self.args.me, &nodes);
        peers.retain(|peer| targets.contains(&peer.node));
        self.push(&peers, items);
    }

    fn push(&mut self, peers: &[Member], items: &[NewsItem]) {
        if items.is_empty() {
            return;
        }
        for peer in peers {
            self.outbox.push(&peer.node, peer.address, items);
        }
    }

    /// Returns the other members that are not dead.
    fn peers(&self) -> Vec<Member> {
        let members = self.args.members.borrow();
        let is_peer = |member: &&Member| member.is_present() && member.node != self.args.me;
        members.iter().filter(is_peer).cloned().collect()
    }

    /// Merges items and returns those that changed the news.
    fn merge(&mut self, items: &[NewsItem]) -> Vec<NewsItem> {
        let now = self.args.clock.now();
        let is_new = |item: &&NewsItem| self.state.merge(item, now);
        let new: Vec<_> = items.iter().filter(is_new).cloned().collect();
        if !new.is_empty() {
            self.publish_snapshot();
        }
        new
    }

    fn publish_snapshot(&self) {
        self.args.digest.send_replace(self.state.digest());
        let snapshot = Arc::new(self.state.snapshot().clone());
        self.snapshots.send_replace(snapshot);
    }

    fn start_pushes(&mut self) {
        while let Some(push) = self.outbox.next() {
            let transport = self.args.transport.clone();
            let timeout = self.args.options.push_timeout;
            self.calls.spawn(async move {
                let items = push.items.clone();
                let result = transport.push_news(push.peer, items, timeout).await;
                Completion::Pushed(push, result)
            });
        }
    }

    fn exchange(
        &self,
        peer: SocketAddr,
    ) -> impl Future<Output = Result<Vec<NewsItem>>> + Send + use<> {
        let transport = self.args.transport.clone();
        let timeout = self.args.options.exchange_timeout;
        let items = self.state.items();
        async move { transport.exchange_news(peer, items, timeout).await }
    }

    fn refresh(&mut self, reply: oneshot::Sender<RefreshReport>) {
        let waiting: VecDeque<_> = self.peers().iter().map(|peer| peer.address).collect();
        let id = self.next_refresh;
        self.next_refresh += 1;
        let report = RefreshReport {
            asked: waiting.len(),
            answered: 0,
        };
        let refresh = Refresh {
            waiting,
            in_flight: 0,
            report,
            reply,
        };
        self.refreshes.insert(id, refresh);
        self.continue_refresh(id);
    }

    fn refreshed(&mut self, id: u64, result: Result<Vec<NewsItem>>) {
        if let Some(refresh) = self.refreshes.get_mut(&id) {
            refresh.in_flight -= 1;
            refresh.report.answered += usize::from(result.is_ok());
        }
        self.merge(&result.unwrap_or_default());
        self.continue_refresh(id);
    }

    fn continue_refresh(&mut self, id: u64) {
        while let Some(refresh) = self.refreshes.get_mut(&id) {
            if refresh.in_flight >= MAX_REFRESH_EXCHANGES {
                return;
            }
            let Some(peer) = refresh.waiting.pop_front() else {
                break;
            };
            refresh.in_flight += 1;
            let exchange = self.exchange(peer);
            self.calls
                .spawn(async move { Completion::Refreshed(id, exchange.await) });
        }
        let is_over = |refresh: &Refresh| refresh.in_flight == 0;
        if self.refreshes.get(&id).is_some_and(is_over)
            && let Some(refresh) = self.refreshes.remove(&id)
        {
            let _ = refresh.reply.send(refresh.report);
        }
    }
}
