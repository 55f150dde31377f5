//! The task that runs the failure detector and makes its network calls.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
    time::Instant,
};
use verbenahead_core::timer::Tick;

use crate::{
    detector::{Call, Detector},
    errors::Result,
    handle::Command,
    member::Member,
    message::{Ack, IndirectProbe, MemberExchange, Ping, StateDigest},
    options::MembershipOptions,
    probe::ProbeId,
    transport::PeerTransport,
};

/// `Completion` is the result of a network call that has ended.
enum Completion {
    Pinged(SocketAddr, Option<ProbeId>, Result<Ack>),
    ProbedIndirectly(ProbeId, Result<bool>),
    Exchanged(SocketAddr, Result<MemberExchange>),
    Relayed(SocketAddr, Result<Ack>, oneshot::Sender<bool>),
}

/// `MembershipTask` owns the detector and makes the calls that it returns.
pub(crate) struct MembershipTask {
    pub(crate) options: MembershipOptions,
    pub(crate) detector: Detector,
    pub(crate) transport: Arc<dyn PeerTransport>,
    pub(crate) members: watch::Sender<Arc<Vec<Member>>>,
    /// Digest of this node's news.
    pub(crate) news: watch::Receiver<StateDigest>,
    /// Receives the addresses of peers whose news digest differs.
    pub(crate) digest_mismatches: mpsc::Sender<SocketAddr>,
}

impl MembershipTask {
    /// Runs until all handles are dropped, then waits for the calls in progress.
    pub(crate) async fn run(
        self,
        mut commands: mpsc::Receiver<Command>,
        mut ticks: mpsc::Receiver<Tick>,
    ) {
        let mut state = TaskState {
            published_version: self.detector.version(),
            task: self,
            calls: JoinSet::new(),
            relayed_probes: 0,
            departure_reply: None,
        };
        loop {
            // The fixed polling order makes simulations with a given seed reproducible.
            tokio::select! {
                biased;
                Some(_) = ticks.recv() => state.tick(),
                Some(completion) = state.calls.join_next() => {
                    if let Ok(completion) = completion {
                        state.handle_completion(completion);
                    }
                }
                command = commands.recv() => match command {
                    Some(command) => state.handle_command(command),
                    None => break,
                },
            }
            state.publish_members();
        }
        while state.calls.join_next().await.is_some() {}
    }
}

struct TaskState {
    task: MembershipTask,
    calls: JoinSet<Completion>,
    /// Version of the members that were last sent to subscribers.
    published_version: u64,
    /// Probes in progress on behalf of other nodes.
    relayed_probes: usize,
    departure_reply: Option<oneshot::Sender<()>>,
}

impl TaskState {
    fn handle_command(&mut self, command: Command) {
        let now = Instant::now();
        match command {
            Command::Ping(ping, reply) => {
                let _ = reply.send(self.ping_received(&ping, now));
            }
            Command::ProbeIndirectly(probe, reply) => self.probe_for_peer(probe, reply),
            Command::Exchange(exchange, reply) => {
                let answer = self.task.detector.exchange_received(&exchange, now);
                let _ = reply.send(answer);
            }
            Command::SetSeeds(seeds) => self.task.detector.set_seeds(seeds),
            Command::Leave(reply) => {
                let calls = self.task.detector.leave();
                self.start(calls);
                let _ = reply.send(());
            }
            Command::Depart(reply) => {
                let calls = self.task.detector.depart();
                self.start(calls);
                self.departure_reply = Some(reply);
                self.finish_departure();
            }
        }
    }

    fn tick(&mut self) {
        let calls = self.task.detector.tick(Instant::now());
        self.start(calls);
    }

    fn ping_received(&mut self, ping: &Ping, now: Instant) -> Result<Ack> {
        let ack = self.task.detector.ping_received(ping, now)?;
        self.compare_news(ping.news, ping.from.address);
        let news = *self.task.news.borrow();
        Ok(Ack { news, ..ack })
    }

    fn compare_news(&self, theirs: StateDigest, peer: SocketAddr) {
        if theirs != *self.task.news.borrow() {
            // A full queue already holds peers to exchange news with.
            let _ = self.task.digest_mismatches.try_send(peer);
        }
    }

    /// Probes a member on behalf of another node.
    fn probe_for_peer(&mut self, probe: IndirectProbe, reply: oneshot::Sender<bool>) {
        if self.relayed_probes >= self.task.options.max_relayed_probes {
            let _ = reply.send(false);
            return;
        }
        self.relayed_probes += 1;
        let peer = probe.address;
        let ping = Ping {
            news: *self.task.news.borrow(),
            ..self.task.detector.relayed_ping(probe.target)
        };
        let transport = self.task.transport.clone();
        let timeout = self.task.options.probe_timeout;
        self.calls.spawn(async move {
            let result = transport.ping(peer, ping, timeout).await;
            Completion::Relayed(peer, result, reply)
        });
    }

    fn start(&mut self, calls: Vec<Call>) {
        for call in calls {
            self.start_call(call);
        }
    }

    fn start_call(&mut self, call: Call) {
        let transport = self.task.transport.clone();
        let options = &self.task.options;
        let timeout = self.task.detector.probe_timeout();
        let exchange_timeout = options.exchange_timeout;
        let news = *self.task.news.borrow();
        match call {
            Call::Ping { probe, peer, ping } => self.calls.spawn(async move {
                let ping = Ping { news, ..ping };
                let result = transport.ping(peer, ping, timeout).await;
                Completion::Pinged(peer, probe, result)
            }),
            Call::ProbeIndirectly {
                probe,
                peer,
                request,
            } => self.calls.spawn(async move {
                // The helper needs one probe timeout for its own ping.
                let result = transport.probe_indirectly(peer, request, 2 * timeout).await;
                Completion::ProbedIndirectly(probe, result)
            }),
            Call::Exchange { peer, exchange } => self.calls.spawn(async move {
                let result = transport
                    .exchange_members(peer, exchange, exchange_timeout)
                    .await;
                Completion::Exchanged(peer, result)
            }),
        };
    }

    fn handle_completion(&mut self, completion: Completion) {
        let now = Instant::now();
        match completion {
            Completion::Pinged(peer, probe, result) => self.finish_ping(peer, probe, &result, now),
            Completion::ProbedIndirectly(probe, result) => {
                let detector = &mut self.task.detector;
                detector.indirect_probe_finished(probe, &result, now);
            }
            Completion::Exchanged(peer, result) => {
                let calls = self.task.detector.exchange_finished(peer, &result, now);
                self.start(calls);
            }
            Completion::Relayed(peer, result, reply) => {
                self.relayed_probes -= 1;
                let _ = reply.send(result.is_ok());
                self.finish_ping(peer, None, &result, now);
            }
        }
        self.finish_departure();
    }

    fn finish_ping(
        &mut self,
        peer: SocketAddr,
        probe: Option<ProbeId>,
        result: &Result<Ack>,
        now: Instant,
    ) {
        if let Ok(ack) = result {
            self.compare_news(ack.news, peer);
        }
        let calls = self.task.detector.ping_finished(probe, result, now);
        self.start(calls);
    }

    /// Answers a departure command once no call is in progress, so that the announcement has been
    /// sent.
    fn finish_departure(&mut self) {
        if self.calls.is_empty()
            && let Some(reply) = self.departure_reply.take()
        {
            let _ = reply.send(());
        }
    }

    fn publish_members(&mut self) {
        let version = self.task.detector.version();
        if version == self.published_version {
            return;
        }
        self.published_version = version;
        let members = Arc::new(self.task.detector.members());
        self.task.members.send_replace(members);
    }
}
