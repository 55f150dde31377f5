//! Keeps parts of prompts that crash replicas from all replicas.
//!
//! A node that loses the answers of a crashed replica reports the parts of the prompts to the assessors
//! of the service, two nodes of the deployment. An assessor that finds a part in one crash after the
//! other asks all nodes whether they know it to be sound. If none does, it quarantines the part and
//! tells all nodes. Reports of nodes repeat which parts are quarantined, for those that missed it.
//!
//! Assessors that do not acknowledge a report are replaced, and any node that sees enough crashes itself
//! assesses them too. So a lost message or assessor delays a quarantine but does not prevent it.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{sync::watch, time::sleep};
use verbenahead_core::{
    HashSet, NodeId, PartKey, QuarantinedPart, ServiceId,
    time::{SteadyClock, UnixMillis},
};
use verbenahead_membership::{NameKey, QuarantineMessage, SharedRoster};
use verbenahead_policy::{
    CrashEvidence, CrashEvidenceOptions, PartStanding, Quarantine, QuarantineOptions, SoundParts,
    Timestamp,
};

use crate::{
    agreed_clock::AgreedClock,
    crash_reporter::{CrashReporter, CrashReporterOptions},
    dialect::PromptPart,
    quarantine_transport::QuarantineTransport,
    upstream::UpstreamEntry,
};

/// `PromptQuarantineOptions` configures how harmful parts are found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptQuarantineOptions {
    /// When a part is suspected.
    pub evidence: CrashEvidenceOptions,
    /// How long a part is quarantined.
    pub quarantine: QuarantineOptions,
    /// Time for which a part counts as sound after a complete answer.
    pub sound_memory: Duration,
    /// Time for which an assessor waits for nodes that know a suspected part to be sound.
    pub inquiry_timeout: Duration,
    /// How crashes are reported.
    pub reports: CrashReporterOptions,
}

impl Default for PromptQuarantineOptions {
    fn default() -> Self {
        Self {
            evidence: CrashEvidenceOptions::default(),
            quarantine: QuarantineOptions::default(),
            sound_memory: Duration::from_secs(30),
            inquiry_timeout: Duration::from_millis(150),
            reports: CrashReporterOptions::default(),
        }
    }
}

/// Largest number of quarantined parts in one message or report.
const MAX_REPORTED: usize = 32;

/// `PromptQuarantine` holds the parts of prompts that one node keeps from replicas, and finds harmful
/// parts together with the other nodes.
pub struct PromptQuarantine {
    options: PromptQuarantineOptions,
    roster: SharedRoster,
    transport: Arc<dyn QuarantineTransport>,
    crash_reporter: Arc<CrashReporter>,
    agreed_clock: Arc<AgreedClock>,
    clock: SteadyClock,
    /// Number of times that a part was quarantined, by this node or another.
    quarantined: watch::Sender<u64>,
    /// Number of times that this node quarantined a part, or released one that it had quarantined.
    assessed: watch::Sender<u64>,
    state: Mutex<State>,
}

struct State {
    sound: SoundParts,
    evidence: CrashEvidence,
    quarantine: Quarantine,
    /// Parts that other nodes told to be sound. Unlike those that this node knows itself, they are not
    /// told on, so that the knowledge expires.
    told_sound: SoundParts,
    inquiry: Option<Inquiry>,
    /// Parts that this node quarantined itself.
    assessed: HashSet<PartKey>,
}

/// `Inquiry` is a suspected part that the other nodes are being asked about.
#[derive(Debug, Clone, Copy)]
struct Inquiry {
    part: PartKey,
    /// Whether a node knows the part to be sound.
    is_cleared: bool,
}

impl PromptQuarantine {
    /// Builds the quarantine of the node `own`, which cooperates with the nodes in `roster`.
    pub fn new(
        options: PromptQuarantineOptions,
        own: NodeId,
        roster: SharedRoster,
        transport: Arc<dyn QuarantineTransport>,
        agreed_clock: Arc<AgreedClock>,
    ) -> Self {
        Self {
            state: Mutex::new(State {
                sound: SoundParts::new(options.sound_memory),
                evidence: CrashEvidence::new(options.evidence),
                quarantine: Quarantine::new(options.quarantine),
                told_sound: SoundParts::new(options.sound_memory),
                inquiry: None,
                assessed: HashSet::default(),
            }),
            crash_reporter: Arc::new(CrashReporter::new(
                options.reports,
                own,
                roster.clone(),
                Arc::clone(&transport),
            )),
            options,
            roster,
            transport,
            agreed_clock,
            clock: SteadyClock::default(),
            quarantined: watch::Sender::new(0),
            assessed: watch::Sender::new(0),
        }
    }

    /// Returns the first quarantined part of a prompt and the rest of its quarantine.
    pub fn find(&self, service: &ServiceId, parts: &[PromptPart]) -> Option<(PartKey, Duration)> {
        let state = self.lock();
        if state.quarantine.is_empty() {
            return None;
        }
        let now = self.agreed_clock.now();
        part_keys(service, parts)
            .find_map(|part| Some((part, state.quarantine.remaining(part, now)?)))
    }

    /// Waits until a part of a prompt is quarantined. Never completes for a prompt without parts.
    pub async fn wait_for(&self, service: &ServiceId, parts: &[PromptPart]) {
        let mut quarantined = self.quarantined.subscribe();
        while parts.is_empty() || self.find(service, parts).is_none() {
            if quarantined.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Records that a request with these parts was answered completely.
    pub fn record_complete(&self, service: &ServiceId, parts: &[PromptPart]) {
        let now = self.now();
        let mut state = self.lock();
        for part in part_keys(service, parts) {
            state.sound.record(part, now);
        }
    }

    /// Records that a replica broke off its answer to a request with these parts as it began.
    pub fn record_crash(self: &Arc<Self>, upstream: &UpstreamEntry, parts: &[PromptPart]) {
        let now = self.now();
        let replica = upstream.incarnation_key();
        {
            let mut state = self.lock();
            let is_suspect = |part: &PartKey| !state.sound.contains(*part, now);
            let suspects = part_keys(&upstream.service, parts).filter(is_suspect);
            let suspects: Vec<PartKey> = suspects.collect();
            if suspects.is_empty() {
                return;
            }
            tracing::info!(
                upstream = %upstream.address.upstream,
                service = %upstream.service,
                suspects = %join(&suspects),
                "replica crashed as it began to answer",
            );
            state.evidence.record(replica.0, &suspects, now);
            drop(state);
            self.crash_reporter
                .report(&upstream.service, replica, suspects);
        }
        self.assess();
    }

    /// Processes a message of another node.
    pub fn handle(self: &Arc<Self>, message: QuarantineMessage, from: SocketAddr) {
        match message {
            QuarantineMessage::Crashes { number, crashes } => {
                self.transport
                    .send(&[from], &QuarantineMessage::Received { number });
                let now = self.now();
                let mut state = self.lock();
                for crash in crashes {
                    let suspects: Vec<PartKey> = crash
                        .suspects
                        .into_iter()
                        .filter(|part| !state.sound.contains(*part, now))
                        .collect();
                    state.evidence.record(crash.replica.0, &suspects, now);
                }
                drop(state);
                self.assess();
            }
            QuarantineMessage::Received { number } => {
                self.crash_reporter.record_received(number, from);
            }
            QuarantineMessage::Inquiry(parts) => self.tell_sound(parts, from),
            QuarantineMessage::Sound(parts) => self.clear(&parts),
            QuarantineMessage::Quarantined(parts) => self.merge(&parts, from),
        }
    }

    /// Returns a receiver of the number of times that this node quarantined a part, or released one that
    /// it had quarantined.
    pub fn assessed(&self) -> watch::Receiver<u64> {
        self.assessed.subscribe()
    }

    /// Applies the quarantines that were in force when they were saved.
    pub fn load(&self, saved: &[QuarantinedPart]) {
        let agreed = self.agreed_clock.now();
        let mut state = self.lock();
        for quarantined in saved {
            if state.quarantine.merge(*quarantined, agreed) {
                self.on_quarantined(quarantined, agreed, None);
            }
        }
    }

    /// Returns the quarantined parts for a report to other nodes.
    pub fn reported(&self) -> Vec<QuarantinedPart> {
        let now = self.agreed_clock.now();
        self.lock()
            .quarantine
            .active(now)
            .take(MAX_REPORTED)
            .collect()
    }

    /// Applies the quarantines that another node knows. Parts that this node knows to be sound are not
    /// quarantined, and the other node is told so.
    pub fn merge(&self, parts: &[QuarantinedPart], from: SocketAddr) {
        if parts.is_empty() {
            return;
        }
        let now = self.now();
        let agreed = self.agreed_clock.now();
        let mut sound = Vec::new();
        let mut state = self.lock();
        for quarantined in parts {
            if state.sound.contains(quarantined.part, now) {
                sound.push(quarantined.part);
            } else if !state.told_sound.contains(quarantined.part, now)
                && state.quarantine.merge(*quarantined, agreed)
            {
                self.on_quarantined(quarantined, agreed, Some(from));
            }
        }
        drop(state);
        if !sound.is_empty() {
            self.transport
                .send(&[from], &QuarantineMessage::Sound(sound));
        }
    }

    /// Tells another node which of the parts are known to be sound.
    fn tell_sound(&self, mut parts: Vec<PartKey>, to: SocketAddr) {
        let now = self.now();
        let state = self.lock();
        parts.retain(|part| state.sound.contains(*part, now));
        drop(state);
        if !parts.is_empty() {
            self.transport.send(&[to], &QuarantineMessage::Sound(parts));
        }
    }

    /// Records that another node knows parts to be sound.
    fn clear(&self, parts: &[PartKey]) {
        let now = self.now();
        let agreed = self.agreed_clock.now();
        let mut wrongly_assessed = Vec::new();
        let mut state = self.lock();
        for part in parts {
            state.told_sound.record(*part, now);
            state.evidence.clear(*part);
            if let Some(inquiry) = state.inquiry.as_mut().filter(|i| i.part == *part) {
                inquiry.is_cleared = true;
            }
            if state.quarantine.release(*part, agreed) {
                tracing::info!(%part, "part of prompts released, another node got a complete answer");
            }
            if state.assessed.remove(part) {
                wrongly_assessed.push(*part);
            }
        }
        drop(state);
        if !wrongly_assessed.is_empty() {
            self.assessed.send_modify(|count| *count += 1);
            let others = self.roster.lock().addresses();
            self.transport
                .send(&others, &QuarantineMessage::Sound(wrongly_assessed));
        }
    }

    /// Starts an inquiry about the most suspected part, unless one is in progress.
    fn assess(self: &Arc<Self>) {
        let Some(part) = self.next_inquiry() else {
            return;
        };
        tracing::info!(%part, "part of prompts suspected of crashing replicas");
        let quarantine = Arc::clone(self);
        tokio::spawn(async move {
            for _ in 0..MAX_INQUIRIES {
                if quarantine.inquire(part).await == InquiryResult::Done {
                    break;
                }
            }
            quarantine.lock().inquiry = None;
            quarantine.assess();
        });
    }

    fn next_inquiry(&self) -> Option<PartKey> {
        let now = self.now();
        let agreed = self.agreed_clock.now();
        let mut state = self.lock();
        if state.inquiry.is_some() {
            return None;
        }
        let standing = |part| state.standing(part, agreed);
        let part = state.evidence.suspect(standing, now)?;
        state.inquiry = Some(Inquiry {
            part,
            is_cleared: false,
        });
        Some(part)
    }

    /// Asks all nodes whether they know a part to be sound, and quarantines it if none does.
    async fn inquire(&self, part: PartKey) -> InquiryResult {
        let asked_at = self.now();
        let others = self.roster.lock().addresses();
        self.transport
            .send(&others, &QuarantineMessage::Inquiry(vec![part]));
        sleep(self.options.inquiry_timeout).await;
        let now = self.now();
        let agreed = self.agreed_clock.now();
        let quarantined = {
            let mut state = self.lock();
            let is_cleared = state.inquiry.is_none_or(|inquiry| inquiry.is_cleared);
            if is_cleared || state.sound.contains(part, now) {
                state.evidence.clear(part);
                return InquiryResult::Done;
            }
            // Reports that arrived meanwhile may tell that another part crashes the replicas.
            let standing = |part| state.standing(part, agreed);
            if state.evidence.suspect(standing, now) != Some(part) {
                return InquiryResult::Done;
            }
            // Answers may wait unread after a pause of the process.
            if now.since(asked_at) > self.options.inquiry_timeout * MAX_INQUIRY_DELAY {
                return InquiryResult::Delayed;
            }
            let quarantined = state.quarantine.add(part, agreed);
            state.record_assessed(part, agreed);
            quarantined
        };
        self.on_quarantined(&quarantined, agreed, None);
        self.assessed.send_modify(|count| *count += 1);
        self.transport
            .send(&others, &QuarantineMessage::Quarantined(vec![quarantined]));
        InquiryResult::Done
    }

    /// Logs a quarantine, and wakes the requests that wait for one.
    fn on_quarantined(
        &self,
        quarantined: &QuarantinedPart,
        now: UnixMillis,
        told_by: Option<SocketAddr>,
    ) {
        tracing::warn!(
            part = %quarantined.part,
            period_s = quarantined.until.since(now).as_secs(),
            times = quarantined.times,
            told_by = told_by.map(tracing::field::display),
            "part of prompts quarantined",
        );
        self.quarantined.send_modify(|count| *count += 1);
    }

    /// Returns the time since the start, including time for which the machine was suspended.
    fn now(&self) -> Timestamp {
        Timestamp(self.clock.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Number of inquiries about a part that may be delayed one after the other.
const MAX_INQUIRIES: u32 = 5;

/// Time for an inquiry after which its result does not count, as a multiple of its timeout.
const MAX_INQUIRY_DELAY: u32 = 3;

/// `InquiryResult` tells whether an inquiry has a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InquiryResult {
    /// The part is quarantined or known to be sound.
    Done,
    /// The process was paused meanwhile, so the nodes have to be asked again.
    Delayed,
}

impl State {
    /// Records that this node quarantined a part, and forgets those whose quarantine is over.
    fn record_assessed(&mut self, part: PartKey, now: UnixMillis) {
        let quarantine = &self.quarantine;
        self.assessed
            .retain(|part| quarantine.remaining(*part, now).is_some());
        self.assessed.insert(part);
    }

    fn standing(&self, part: PartKey, now: UnixMillis) -> PartStanding {
        if self.quarantine.remaining(part, now).is_some() {
            PartStanding::Quarantined
        } else if self.quarantine.is_on_probation(part, now) {
            PartStanding::OnProbation
        } else {
            PartStanding::Unknown
        }
    }
}

fn part_keys(service: &ServiceId, parts: &[PromptPart]) -> impl Iterator<Item = PartKey> {
    let service = NameKey::from(service).0;
    parts.iter().map(move |part| PartKey {
        service,
        id: part.id,
    })
}

fn join(parts: &[PartKey]) -> String {
    let parts: Vec<String> = parts.iter().map(PartKey::to_string).collect();
    parts.join(",")
}
