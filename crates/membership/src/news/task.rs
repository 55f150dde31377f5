//! The task that spreads news.

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
    board::{NewsBoard, NewsSnapshot},
    handle::{Command, NewsHandle, RefreshReport},
    item::NewsItem,
    options::NewsOptions,
    outbox::{Outbox, Push},
};
use crate::{
    errors::Result, member::Member, message::StateDigest, probe_ring::probe_targets,
    time::WallClock, transport::PeerTransport,
};

/// Commands that may wait for the task.
const COMMAND_QUEUE: usize = 1_024;

/// Most exchanges of one refresh that are under way at the same time.
const MAX_REFRESH_EXCHANGES: usize = 32;

/// `NewsParts` is what the task works with.
pub(crate) struct NewsParts {
    pub(crate) options: NewsOptions,
    pub(crate) transport: Arc<dyn PeerTransport>,
    pub(crate) clock: WallClock,
    pub(crate) members: watch::Receiver<Arc<Vec<Member>>>,
    pub(crate) me: verbenahead_core::NodeId,
    pub(crate) digest: watch::Sender<StateDigest>,
    pub(crate) differing: mpsc::Receiver<SocketAddr>,
}

/// Starts the task. It ends when all handles are dropped.
pub(crate) fn spawn(parts: NewsParts, timer: &TimerService) -> NewsHandle {
    let (commands_tx, commands) = mpsc::channel(COMMAND_QUEUE);
    let (snapshots_tx, snapshots) = watch::channel(Arc::new(NewsSnapshot::default()));
    let period = parts.options.repair_period;
    let ticks = timer.subscribe(period, period);
    let options = &parts.options;
    let task = NewsTask {
        board: NewsBoard::new(options.upstream_retention),
        outbox: Outbox::new(
            options.max_concurrent_pushes,
            options.max_push_items,
            options.max_push_attempts,
        ),
        snapshots: snapshots_tx,
        calls: JoinSet::new(),
        suspected: None,
        is_exchanging: false,
        refreshes: HashMap::default(),
        next_refresh: 0,
        parts,
    };
    tokio::spawn(task.run(commands, ticks));
    NewsHandle::new(commands_tx, snapshots)
}

enum Done {
    Pushed(Push, Result<()>),
    Exchanged(Result<Vec<NewsItem>>),
    Refreshed(u64, Result<Vec<NewsItem>>),
}

struct Refresh {
    waiting: VecDeque<SocketAddr>,
    in_flight: usize,
    report: RefreshReport,
    reply: oneshot::Sender<RefreshReport>,
}

struct NewsTask {
    parts: NewsParts,
    board: NewsBoard,
    outbox: Outbox,
    snapshots: watch::Sender<Arc<NewsSnapshot>>,
    calls: JoinSet<Done>,
    suspected: Option<SocketAddr>,
    is_exchanging: bool,
    refreshes: HashMap<u64, Refresh>,
    next_refresh: u64,
}

impl NewsTask {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>, mut ticks: mpsc::Receiver<Tick>) {
        loop {
            // The fixed order lets runs with a seed be repeated.
            tokio::select! {
                biased;
                Some(_) = ticks.recv() => self.tick(),
                Some(peer) = self.parts.differing.recv() => self.suspected = Some(peer),
                Some(done) = self.calls.join_next() => {
                    if let Ok(done) = done {
                        self.done(done);
                    }
                }
                command = commands.recv() => match command {
                    Some(command) => self.command(command),
                    None => break,
                },
            }
            self.start_pushes();
        }
        while self.calls.join_next().await.is_some() {}
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Publish(items, reply) => {
                self.publish(&items);
                let _ = reply.send(());
            }
            Command::Received(items, reply) => {
                self.learn(&items);
                let _ = reply.send(());
            }
            Command::Exchanged(items, reply) => {
                self.learn(&items);
                let _ = reply.send(self.board.items());
            }
            Command::Refresh(reply) => self.refresh(reply),
        }
    }

    /// Drops old news, retries failed pushes and starts an exchange with a peer whose digest
    /// differed. Waiting for the tick keeps pushes that are still under way from causing exchanges.
    fn tick(&mut self) {
        if self.board.expire(self.parts.clock.now()) {
            self.show();
        }
        self.outbox.retry();
        if self.is_exchanging {
            return;
        }
        let Some(peer) = self.suspected.take() else {
            return;
        };
        self.is_exchanging = true;
        let exchange = self.exchange(peer);
        self.calls
            .spawn(async move { Done::Exchanged(exchange.await) });
    }

    fn done(&mut self, done: Done) {
        match done {
            Done::Pushed(push, result) => {
                if let Err(e) = &result {
                    tracing::debug!(peer = %push.node, error = %e, "push of news failed");
                }
                self.outbox.finished(&push, result.is_ok());
            }
            Done::Exchanged(result) => {
                self.is_exchanging = false;
                self.learn(&result.unwrap_or_default());
            }
            Done::Refreshed(id, result) => self.refreshed(id, result),
        }
    }

    /// Merges items that this node found out itself and pushes those that are new.
    fn publish(&mut self, items: &[NewsItem]) {
        let new = self.merge(items);
        let options = &self.parts.options;
        let peers = self.parts.members.borrow().len().saturating_sub(1);
        if options
            .push_policy
            .pushes_to_all(peers, options.max_direct_peers)
        {
            self.push_to_all(&new);
        } else {
            self.push_to_ring_targets(&new);
        }
    }

    /// Merges items that a peer told and pushes on those that are new.
    fn learn(&mut self, items: &[NewsItem]) {
        let new = self.merge(items);
        if self.parts.options.push_policy.pushes_on() {
            self.push_to_ring_targets(&new);
        }
    }

    fn push_to_all(&mut self, items: &[NewsItem]) {
        let mut peers = self.peers();
        // Suspects come last, because a push to one may take the whole timeout.
        peers.sort_by_key(|peer| !peer.is_alive());
        self.push(&peers, items);
    }

    fn push_to_ring_targets(&mut self, items: &[NewsItem]) {
        if items.is_empty() {
            return;
        }
        let mut peers = self.peers();
        let nodes: Vec<_> = peers.iter().map(|peer| peer.node.clone()).collect();
        let targets = probe_targets(&self.parts.me, &nodes);
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

    /// Returns the other members that may still run.
    fn peers(&self) -> Vec<Member> {
        let members = self.parts.members.borrow();
        let is_peer = |member: &&Member| member.is_present() && member.node != self.parts.me;
        members.iter().filter(is_peer).cloned().collect()
    }

    /// Merges items and returns those that were new.
    fn merge(&mut self, items: &[NewsItem]) -> Vec<NewsItem> {
        let now = self.parts.clock.now();
        let is_new = |item: &&NewsItem| self.board.merge(item, now);
        let new: Vec<_> = items.iter().filter(is_new).cloned().collect();
        if !new.is_empty() {
            self.show();
        }
        new
    }

    fn show(&self) {
        self.parts.digest.send_replace(self.board.digest());
        let snapshot = Arc::new(self.board.snapshot().clone());
        self.snapshots.send_replace(snapshot);
    }

    fn start_pushes(&mut self) {
        while let Some(push) = self.outbox.next() {
            let transport = self.parts.transport.clone();
            let timeout = self.parts.options.push_timeout;
            self.calls.spawn(async move {
                let items = push.items.clone();
                let result = transport.push_news(push.peer, items, timeout).await;
                Done::Pushed(push, result)
            });
        }
    }

    fn exchange(
        &self,
        peer: SocketAddr,
    ) -> impl Future<Output = Result<Vec<NewsItem>>> + Send + use<> {
        let transport = self.parts.transport.clone();
        let timeout = self.parts.options.exchange_timeout;
        let items = self.board.items();
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
                .spawn(async move { Done::Refreshed(id, exchange.await) });
        }
        let is_over = |refresh: &Refresh| refresh.in_flight == 0;
        if self.refreshes.get(&id).is_some_and(is_over)
            && let Some(refresh) = self.refreshes.remove(&id)
        {
            let _ = refresh.reply.send(refresh.report);
        }
    }
}
