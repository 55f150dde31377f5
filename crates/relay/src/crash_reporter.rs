//! Reports of crashed replicas to the nodes that assess them.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::sleep;
use verbenahead_core::{ContentKey, HashMap, NodeId, ServiceId, time::SteadyClock};
use verbenahead_membership::{CrashReport, NameKey, QuarantineMessage, SharedRoster};
use verbenahead_policy::{CollectorChoice, CollectorChoiceOptions, Timestamp};

use crate::quarantine_transport::QuarantineTransport;

/// `CrashReporterOptions` configures how crashes are reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashReporterOptions {
    /// Number of recent crashes that are reported again together with a new one, for an assessor that has
    /// replaced another one.
    pub repeated_crashes: usize,
    /// Time for which a crash is reported again.
    pub memory: Duration,
    /// Time after which a report without an acknowledgement is sent again.
    pub resend_after: Duration,
    /// How long a node that acknowledges no report is replaced as an assessor.
    pub choice: CollectorChoiceOptions,
}

impl Default for CrashReporterOptions {
    fn default() -> Self {
        Self {
            repeated_crashes: 8,
            memory: Duration::from_secs(60),
            resend_after: Duration::from_millis(80),
            choice: CollectorChoiceOptions::default(),
        }
    }
}

/// Number of assessors of a service. A second one keeps the reports if the first one stops.
const ASSESSORS: usize = 2;

/// Number of times that a report is sent without an acknowledgement before its assessor is replaced.
const MAX_SENDS: u32 = 2;

/// Number of rounds of a report: sends to the assessors, then to those that replace them.
const MAX_ROUNDS: u32 = 6;

/// Largest number of suspects of one crash. A report must fit into a datagram.
const MAX_SUSPECTS: usize = 48;

/// `CrashReporter` reports the crashes that one node sees.
pub(crate) struct CrashReporter {
    options: CrashReporterOptions,
    own: NodeId,
    roster: SharedRoster,
    transport: Arc<dyn QuarantineTransport>,
    clock: SteadyClock,
    next_number: AtomicU64,
    state: Mutex<State>,
}

struct State {
    /// Crashes that this node saw, oldest first, with their times.
    crashes: VecDeque<(Timestamp, CrashReport)>,
    /// Choice of the assessors.
    choice: CollectorChoice,
    /// Assessors that acknowledged the reports that are being sent, by the number of the report.
    acknowledged: HashMap<u64, Vec<SocketAddr>>,
}

impl CrashReporter {
    /// Builds the reporter of the node `own`, which reports to nodes in `roster`.
    pub(crate) fn new(
        options: CrashReporterOptions,
        own: NodeId,
        roster: SharedRoster,
        transport: Arc<dyn QuarantineTransport>,
    ) -> Self {
        Self {
            state: Mutex::new(State {
                crashes: VecDeque::new(),
                choice: CollectorChoice::new(options.choice),
                acknowledged: HashMap::default(),
            }),
            options,
            own,
            roster,
            transport,
            clock: SteadyClock::default(),
            next_number: AtomicU64::new(rand::random::<u32>().into()),
        }
    }

    /// Reports the crash of a replica of a service, with the content of requests that may have caused it.
    pub(crate) fn report(
        self: &Arc<Self>,
        service: &ServiceId,
        replica: NameKey,
        suspects: Vec<ContentKey>,
    ) {
        let now = self.now();
        self.lock().record(replica, suspects, now, &self.options);
        tokio::spawn(Arc::clone(self).send(service.clone()));
    }

    /// Records that an assessor acknowledged a report.
    pub(crate) fn record_received(&self, number: u64, by: SocketAddr) {
        if let Some(nodes) = self.lock().acknowledged.get_mut(&number) {
            nodes.push(by);
        }
    }

    /// Reports the recent crashes to the assessors of a service until they acknowledge it.
    async fn send(self: Arc<Self>, service: ServiceId) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let crashes = {
            let mut state = self.lock();
            state.acknowledged.insert(number, Vec::new());
            let recent = state.crashes.iter();
            recent.map(|(_, crash)| crash.clone()).collect()
        };
        let message = QuarantineMessage::Crashes { number, crashes };
        let mut sends: HashMap<NodeId, u32> = HashMap::default();
        for _ in 0..MAX_ROUNDS {
            let assessors = self.unacknowledged(number, self.assessors(&service));
            if assessors.is_empty() {
                break;
            }
            let addresses: Vec<SocketAddr> = assessors.iter().map(|(_, to)| *to).collect();
            self.transport.send(&addresses, &message);
            sleep(self.options.resend_after).await;
            for (node, _) in self.unacknowledged(number, assessors) {
                let count = sends.entry(node.clone()).or_default();
                *count += 1;
                if *count >= MAX_SENDS {
                    tracing::info!(%node, "assessor of crashes does not answer");
                    let now = self.now();
                    self.lock().choice.suspect(&node, now);
                }
            }
        }
        self.lock().acknowledged.remove(&number);
    }

    /// Returns the assessors that have not acknowledged a report.
    fn unacknowledged(
        &self,
        number: u64,
        mut assessors: Vec<(NodeId, SocketAddr)>,
    ) -> Vec<(NodeId, SocketAddr)> {
        let state = self.lock();
        if let Some(acknowledged) = state.acknowledged.get(&number) {
            assessors.retain(|(_, address)| !acknowledged.contains(address));
        }
        assessors
    }

    /// Returns the assessors of a service and their addresses, without this node.
    fn assessors(&self, service: &ServiceId) -> Vec<(NodeId, SocketAddr)> {
        let key = NameKey::from(service).0;
        let now = self.now();
        let roster = self.roster.lock();
        let state = self.lock();
        let mut nodes: Vec<&NodeId> = roster.serving_nodes().chain([&self.own]).collect();
        let mut assessors = Vec::new();
        for _ in 0..ASSESSORS {
            let Some(chosen) = state.choice.collector(key, nodes.iter().copied(), now) else {
                break;
            };
            let address = roster.address_of(chosen);
            assessors.extend(address.map(|address| (chosen.clone(), address)));
            nodes.retain(|node| *node != chosen);
        }
        assessors
    }

    /// Returns the time since the start, including time for which the machine was suspended.
    fn now(&self) -> Timestamp {
        Timestamp(self.clock.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn record(
        &mut self,
        replica: NameKey,
        suspects: Vec<ContentKey>,
        now: Timestamp,
        options: &CrashReporterOptions,
    ) {
        self.crashes
            .retain(|(at, _)| now.since(*at) < options.memory);
        let known = self.crashes.iter().position(|(_, c)| c.replica == replica);
        let index = known.unwrap_or_else(|| {
            if self.crashes.len() >= options.repeated_crashes {
                self.crashes.pop_front();
            }
            let suspects = Vec::new();
            self.crashes
                .push_back((now, CrashReport { replica, suspects }));
            self.crashes.len() - 1
        });
        let (_, crash) = &mut self.crashes[index];
        for part in suspects {
            if crash.suspects.len() < MAX_SUSPECTS && !crash.suspects.contains(&part) {
                crash.suspects.push(part);
            }
        }
    }
}
