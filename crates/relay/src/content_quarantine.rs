//! Keeps content of requests that crashes replicas from all replicas.
//!
//! A node that loses the answers of a crashed replica reports the content of the requests to the
//! assessors of the service, two nodes of the deployment. An assessor that finds the same content in
//! one crash after the other asks all nodes whether they know it to be sound. If none does, it
//! quarantines the content and tells all nodes. Reports of nodes repeat what is quarantined, for those
//! that missed it.
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
    ContentKey, HashSet, NodeId, QuarantinedContent,
    time::{SteadyClock, UnixMillis},
};
use verbenahead_membership::{QuarantineMessage, SharedRoster};
use verbenahead_policy::{
    ContentStanding, CrashEvidence, CrashEvidenceOptions, Quarantine, QuarantineOptions,
    SoundContent, SoundContentOptions, Timestamp,
};

use crate::{
    agreed_clock::AgreedClock,
    crash_reporter::{CrashReporter, CrashReporterOptions},
    quarantine_transport::QuarantineTransport,
    request_content::RequestContent,
    upstream::UpstreamEntry,
};

/// `ContentQuarantineOptions` configures how harmful content is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContentQuarantineOptions {
    /// When content is suspected.
    pub evidence: CrashEvidenceOptions,
    /// How long content is quarantined.
    pub quarantine: QuarantineOptions,
    /// How long content counts as sound after a complete answer.
    pub sound: SoundContentOptions,
    /// Time for which an assessor waits for nodes that know suspected content to be sound.
    pub inquiry_timeout: Duration,
    /// How crashes are reported.
    pub reports: CrashReporterOptions,
}

impl Default for ContentQuarantineOptions {
    fn default() -> Self {
        Self {
            evidence: CrashEvidenceOptions::default(),
            quarantine: QuarantineOptions::default(),
            sound: SoundContentOptions::default(),
            inquiry_timeout: Duration::from_millis(150),
            reports: CrashReporterOptions::default(),
        }
    }
}

/// Largest number of quarantined entries in one message or report.
const MAX_REPORTED: usize = 32;

/// `ContentQuarantine` holds the content of requests that one node keeps from replicas, and finds
/// harmful content together with the other nodes.
pub struct ContentQuarantine {
    options: ContentQuarantineOptions,
    roster: SharedRoster,
    transport: Arc<dyn QuarantineTransport>,
    crash_reporter: Arc<CrashReporter>,
    agreed_clock: Arc<AgreedClock>,
    clock: SteadyClock,
    /// Number of times that content was quarantined, by this node or another.
    quarantined: watch::Sender<u64>,
    /// Number of times that this node quarantined content, or released what it had quarantined.
    assessed: watch::Sender<u64>,
    state: Mutex<State>,
}

struct State {
    sound: SoundContent,
    evidence: CrashEvidence,
    quarantine: Quarantine,
    /// Content that other nodes told to be sound. Unlike what this node knows itself, it is not told
    /// on, so that the knowledge expires.
    told_sound: SoundContent,
    inquiry: Option<Inquiry>,
    /// Content that this node quarantined itself.
    assessed: HashSet<ContentKey>,
}

/// `Inquiry` is suspected content that the other nodes are being asked about.
#[derive(Debug, Clone, Copy)]
struct Inquiry {
    key: ContentKey,
    /// Whether a node knows the content to be sound.
    is_cleared: bool,
}

impl ContentQuarantine {
    /// Builds the quarantine of the node `own`, which cooperates with the nodes in `roster`.
    pub fn new(
        options: ContentQuarantineOptions,
        own: NodeId,
        roster: SharedRoster,
        transport: Arc<dyn QuarantineTransport>,
        agreed_clock: Arc<AgreedClock>,
    ) -> Self {
        Self {
            state: Mutex::new(State {
                sound: SoundContent::new(options.sound),
                evidence: CrashEvidence::new(options.evidence),
                quarantine: Quarantine::new(options.quarantine),
                told_sound: SoundContent::new(options.sound),
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

    /// Returns the first quarantined content of a request and the rest of its quarantine.
    pub fn find(&self, content: &RequestContent) -> Option<(ContentKey, Duration)> {
        let state = self.lock();
        if state.quarantine.is_empty() {
            return None;
        }
        let now = self.agreed_clock.now();
        let mut keys = content.iter();
        keys.find_map(|key| Some((*key, state.quarantine.remaining(*key, now)?)))
    }

    /// Waits until content of a request is quarantined.
    pub async fn wait_for(&self, content: &RequestContent) {
        let mut quarantined = self.quarantined.subscribe();
        while self.find(content).is_none() {
            if quarantined.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Records that a request with this content was answered completely.
    pub fn record_complete(&self, content: &RequestContent) {
        let now = self.now();
        let mut state = self.lock();
        for key in content.iter() {
            state.sound.record(*key, now);
        }
    }

    /// Records that a replica broke off its answer to a request with this content as it began.
    pub fn record_crash(self: &Arc<Self>, upstream: &UpstreamEntry, content: &RequestContent) {
        let now = self.now();
        let replica = upstream.incarnation_key();
        {
            let mut state = self.lock();
            let is_suspect = |key: &&ContentKey| !state.sound.contains(**key, now);
            let suspects: Vec<ContentKey> = content.iter().filter(is_suspect).copied().collect();
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
                    let suspects: Vec<ContentKey> = crash
                        .suspects
                        .into_iter()
                        .filter(|key| !state.sound.contains(*key, now))
                        .collect();
                    state.evidence.record(crash.replica.0, &suspects, now);
                }
                drop(state);
                self.assess();
            }
            QuarantineMessage::Received { number } => {
                self.crash_reporter.record_received(number, from);
            }
            QuarantineMessage::Inquiry(keys) => self.tell_sound(keys, from),
            QuarantineMessage::Sound(keys) => self.clear(&keys),
            QuarantineMessage::Quarantined(content) => self.merge(&content, from),
        }
    }

    /// Returns a receiver of the number of times that this node quarantined content, or released what it
    /// had quarantined.
    pub fn assessed(&self) -> watch::Receiver<u64> {
        self.assessed.subscribe()
    }

    /// Applies the quarantines that were in force when they were saved.
    pub fn load(&self, saved: &[QuarantinedContent]) {
        let agreed = self.agreed_clock.now();
        let mut state = self.lock();
        for quarantined in saved {
            if state.quarantine.merge(*quarantined, agreed) {
                self.on_quarantined(quarantined, agreed, None);
            }
        }
    }

    /// Returns what is quarantined for a report to other nodes.
    pub fn reported(&self) -> Vec<QuarantinedContent> {
        let now = self.agreed_clock.now();
        self.lock()
            .quarantine
            .active(now)
            .take(MAX_REPORTED)
            .collect()
    }

    /// Applies the quarantines that another node knows. Content that this node knows to be sound is not
    /// quarantined, and the other node is told so.
    pub fn merge(&self, content: &[QuarantinedContent], from: SocketAddr) {
        if content.is_empty() {
            return;
        }
        let now = self.now();
        let agreed = self.agreed_clock.now();
        let mut sound = Vec::new();
        let mut state = self.lock();
        for quarantined in content {
            if state.sound.contains(quarantined.key, now) {
                sound.push(quarantined.key);
            } else if !state.told_sound.contains(quarantined.key, now)
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

    /// Tells another node which of the content is known to be sound.
    fn tell_sound(&self, mut keys: Vec<ContentKey>, to: SocketAddr) {
        let now = self.now();
        let state = self.lock();
        keys.retain(|key| state.sound.contains(*key, now));
        drop(state);
        if !keys.is_empty() {
            self.transport.send(&[to], &QuarantineMessage::Sound(keys));
        }
    }

    /// Records that another node knows content to be sound.
    fn clear(&self, keys: &[ContentKey]) {
        let now = self.now();
        let agreed = self.agreed_clock.now();
        let mut wrongly_assessed = Vec::new();
        let mut state = self.lock();
        for key in keys {
            state.told_sound.record(*key, now);
            state.evidence.clear(*key);
            if let Some(inquiry) = state.inquiry.as_mut().filter(|i| i.key == *key) {
                inquiry.is_cleared = true;
            }
            if state.quarantine.release(*key, agreed) {
                tracing::info!(content = %key, "content released, another node got a complete answer");
            }
            if state.assessed.remove(key) {
                wrongly_assessed.push(*key);
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

    /// Starts an inquiry about the most suspected content, unless one is in progress.
    fn assess(self: &Arc<Self>) {
        let Some(key) = self.next_inquiry() else {
            return;
        };
        tracing::info!(content = %key, "content suspected of crashing replicas");
        let quarantine = Arc::clone(self);
        tokio::spawn(async move {
            for _ in 0..MAX_INQUIRIES {
                if quarantine.inquire(key).await == InquiryResult::Done {
                    break;
                }
            }
            quarantine.lock().inquiry = None;
            quarantine.assess();
        });
    }

    fn next_inquiry(&self) -> Option<ContentKey> {
        let now = self.now();
        let agreed = self.agreed_clock.now();
        let mut state = self.lock();
        if state.inquiry.is_some() {
            return None;
        }
        let standing = |key| state.standing(key, agreed);
        let key = state.evidence.suspect(standing, now)?;
        state.inquiry = Some(Inquiry {
            key,
            is_cleared: false,
        });
        Some(key)
    }

    /// Asks all nodes whether they know content to be sound, and quarantines it if none does.
    async fn inquire(&self, key: ContentKey) -> InquiryResult {
        let asked_at = self.now();
        let others = self.roster.lock().addresses();
        self.transport
            .send(&others, &QuarantineMessage::Inquiry(vec![key]));
        sleep(self.options.inquiry_timeout).await;
        let now = self.now();
        let agreed = self.agreed_clock.now();
        let quarantined = {
            let mut state = self.lock();
            let is_cleared = state.inquiry.is_none_or(|inquiry| inquiry.is_cleared);
            if is_cleared || state.sound.contains(key, now) {
                state.evidence.clear(key);
                return InquiryResult::Done;
            }
            // Reports that arrived meanwhile may tell that other content crashes the replicas.
            let standing = |key| state.standing(key, agreed);
            if state.evidence.suspect(standing, now) != Some(key) {
                return InquiryResult::Done;
            }
            // Answers may wait unread after a pause of the process.
            if now.since(asked_at) > self.options.inquiry_timeout * MAX_INQUIRY_DELAY {
                return InquiryResult::Delayed;
            }
            let quarantined = state.quarantine.add(key, agreed);
            state.record_assessed(key, agreed);
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
        quarantined: &QuarantinedContent,
        now: UnixMillis,
        told_by: Option<SocketAddr>,
    ) {
        tracing::warn!(
            content = %quarantined.key,
            period_s = quarantined.until.since(now).as_secs(),
            times = quarantined.times,
            told_by = told_by.map(tracing::field::display),
            "content quarantined",
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

/// Number of inquiries about content that may be delayed one after the other.
const MAX_INQUIRIES: u32 = 5;

/// Time for an inquiry after which its result does not count, as a multiple of its timeout.
const MAX_INQUIRY_DELAY: u32 = 3;

/// `InquiryResult` tells whether an inquiry has a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InquiryResult {
    /// The content is quarantined or known to be sound.
    Done,
    /// The process was paused meanwhile, so the nodes have to be asked again.
    Delayed,
}

impl State {
    /// Records that this node quarantined content, and forgets that whose quarantine is over.
    fn record_assessed(&mut self, key: ContentKey, now: UnixMillis) {
        let quarantine = &self.quarantine;
        self.assessed
            .retain(|key| quarantine.remaining(*key, now).is_some());
        self.assessed.insert(key);
    }

    fn standing(&self, key: ContentKey, now: UnixMillis) -> ContentStanding {
        if self.quarantine.remaining(key, now).is_some() {
            ContentStanding::Quarantined
        } else if self.quarantine.is_on_probation(key, now) {
            ContentStanding::OnProbation
        } else {
            ContentStanding::Unknown
        }
    }
}

fn join(keys: &[ContentKey]) -> String {
    let keys: Vec<String> = keys.iter().map(ContentKey::to_string).collect();
    keys.join(",")
}
