//! The task that runs the membership of a node.

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

enum Done {
    Pinged(SocketAddr, Option<ProbeId>, Result<Ack>),
    ProbedIndirectly(ProbeId, Result<bool>),
    Exchanged(SocketAddr, Result<MemberExchange>),
    Relayed(SocketAddr, Result<Ack>, oneshot::Sender<bool>),
}

/// `MembershipTask` owns the detector and makes its calls.
pub(crate) struct MembershipTask {
    pub(crate) options: MembershipOptions,
    pub(crate) detector: Detector,
    pub(crate) transport: Arc<dyn PeerTransport>,
    pub(crate) members: watch::Sender<Arc<Vec<Member>>>,
    pub(crate) news: watch::Receiver<StateDigest>,
    pub(crate) differing: mpsc::Sender<SocketAddr>,
}

impl MembershipTask {
    /// Runs until all handles are dropped, then waits for the calls under way.
    pub(crate) async fn run(
        self,
        mut commands: mpsc::Receiver<Command>,
        mut ticks: mpsc::Receiver<Tick>,
    ) {
        let mut running = Running {
            shown: self.detector.version(),
            task: self,
            calls: JoinSet::new(),
            relayed: 0,
            departure: None,
        };
        loop {
            // The fixed order lets runs with a seed be repeated.
            tokio::select! {
                biased;
                Some(_) = ticks.recv() => running.tick(),
                Some(done) = running.calls.join_next() => {
                    if let Ok(done) = done {
                        running.done(done);
                    }
                }
                command = commands.recv() => match command {
                    Some(command) => running.command(command),
                    None => break,
                },
            }
            running.show();
        }
        while running.calls.join_next().await.is_some() {}
    }
}

struct Running {
    task: MembershipTask,
    calls: JoinSet<Done>,
    shown: u64,
    relayed: usize,
    departure: Option<oneshot::Sender<()>>,
}

impl Running {
    fn command(&mut self, command: Command) {
        let now = Instant::now();
        match command {
            Command::Ping(ping, reply) => {
                let _ = reply.send(self.ping_received(&ping, now));
            }
            Command::ProbeIndirectly(probe, reply) => self.relay(probe, reply),
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
                self.departure = Some(reply);
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
            // A full queue already holds a peer to exchange news with.
            let _ = self.task.differing.try_send(peer);
        }
    }

    /// Probes a member for another node.
    fn relay(&mut self, probe: IndirectProbe, reply: oneshot::Sender<bool>) {
        if self.relayed >= self.task.options.max_relayed_probes {
            let _ = reply.send(false);
            return;
        }
        self.relayed += 1;
        let peer = probe.address;
        let ping = Ping {
            news: *self.task.news.borrow(),
            ..self.task.detector.relayed_ping(probe.target)
        };
        let transport = self.task.transport.clone();
        let timeout = self.task.options.probe_timeout;
        self.calls.spawn(async move {
            let result = transport.ping(peer, ping, timeout).await;
            Done::Relayed(peer, result, reply)
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
                Done::Pinged(peer, probe, result)
            }),
            Call::ProbeIndirectly {
                probe,
                peer,
                request,
            } => self.calls.spawn(async move {
                // The helper needs the time of a probe itself.
                let result = transport.probe_indirectly(peer, request, 2 * timeout).await;
                Done::ProbedIndirectly(probe, result)
            }),
            Call::Exchange { peer, exchange } => self.calls.spawn(async move {
                let result = transport
                    .exchange_members(peer, exchange, exchange_timeout)
                    .await;
                Done::Exchanged(peer, result)
            }),
        };
    }

    fn done(&mut self, done: Done) {
        let now = Instant::now();
        match done {
            Done::Pinged(peer, probe, result) => self.pinged(peer, probe, &result, now),
            Done::ProbedIndirectly(probe, result) => {
                let detector = &mut self.task.detector;
                detector.indirect_probe_finished(probe, &result, now);
            }
            Done::Exchanged(peer, result) => {
                let calls = self.task.detector.exchange_finished(peer, &result, now);
                self.start(calls);
            }
            Done::Relayed(peer, result, reply) => {
                self.relayed -= 1;
                let _ = reply.send(result.is_ok());
                self.pinged(peer, None, &result, now);
            }
        }
        self.finish_departure();
    }

    fn pinged(
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

    /// Answers a departure once no call is under way, so that the farewell has gone out.
    fn finish_departure(&mut self) {
        if self.calls.is_empty()
            && let Some(reply) = self.departure.take()
        {
            let _ = reply.send(());
        }
    }

    fn show(&mut self) {
        let version = self.task.detector.version();
        if version == self.shown {
            return;
        }
        self.shown = version;
        let members = Arc::new(self.task.detector.members());
        self.task.members.send_replace(members);
    }
}
