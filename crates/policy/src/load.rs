//! Estimates the load of an upstream from its last report and the work that the node sent since.

use std::{collections::VecDeque, time::Duration};

use verbenahead_core::{
    HashMap,
    units::{TokenRate, Tokens},
};

use crate::{
    machine_speed::{MachineSpeed, SpeedTrust, TimePercent},
    plain_wait::{DEFAULT_CALL_TIME, PlainLoad, expected_calls},
    time::Timestamp,
};

/// `LoadOptions` holds the initial values of an estimate and how it follows observations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadOptions {
    /// Initial prefill rate of an upstream.
    pub prefill_rate: TokenRate,
    /// Initial time for which a request occupies a batch slot.
    pub service_time: Duration,
    /// Maximum number of requests in a batch, until a report says otherwise.
    pub batch_limit: u32,
    /// Weight of a new observation in a moving average, between 0 and 1.
    pub learning_rate: f64,
    /// Age beyond which a report is ignored.
    pub max_report_age: Duration,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            prefill_rate: TokenRate(8000.0),
            service_time: Duration::from_secs(4),
            batch_limit: 16,
            learning_rate: 0.1,
            max_report_age: Duration::from_secs(30),
        }
    }
}

/// `ReportedLoad` is the load that an upstream reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Maximum number of requests in a batch.
    pub batch_limit: u32,
    /// Prompt tokens that are not processed yet, if the upstream reports them.
    pub queued_tokens: Option<Tokens>,
    /// Time that work takes on the machine, if the upstream states it.
    pub time_percent: Option<TimePercent>,
    /// Age of the report when it was received.
    pub age: Duration,
}

/// `LoadEstimate` is the estimated load of an upstream at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// Prompt tokens to be processed before those of a new request.
    pub queued_tokens: f64,
    /// Requests that run or are queued.
    pub requests: f64,
    /// Maximum number of requests in a batch.
    pub batch_limit: u32,
    /// Rate at which prompt tokens are processed.
    pub prefill_rate: TokenRate,
    /// Time for which a request occupies a batch slot.
    pub service_time: Duration,
    /// Speed of the machine, if the upstream states it.
    pub speed: Option<MachineSpeed>,
}

impl LoadEstimate {
    /// Returns the time until the prefill of a new request can begin.
    pub fn queue_time(&self) -> Duration {
        let prefill = self.queued_tokens / self.prefill_rate.0.max(MIN_PREFILL_RATE);
        let seconds = self.at_speed(prefill + self.slot_wait());
        Duration::from_secs_f64(seconds.clamp(0.0, MAX_PREDICTION.as_secs_f64()))
    }

    /// Returns the time to process `tokens` prompt tokens.
    pub fn prefill_time(&self, tokens: Tokens) -> Duration {
        let seconds = self.at_speed(tokens.0 as f64 / self.prefill_rate.0.max(MIN_PREFILL_RATE));
        Duration::from_secs_f64(seconds.min(MAX_PREDICTION.as_secs_f64()))
    }

    /// Returns the time that work takes on the machine which usually takes `seconds`.
    fn at_speed(&self, seconds: f64) -> f64 {
        self.speed.map_or(seconds, |speed| speed.time_of(seconds))
    }

    /// Returns the time until a batch slot is free, in seconds.
    fn slot_wait(&self) -> f64 {
        let limit = f64::from(self.batch_limit.max(1));
        let excess = (self.requests + 1.0 - limit).max(0.0);
        excess * self.service_time.as_secs_f64() / limit
    }
}

/// Lower bound on the prefill rate in predictions, in tokens per second.
const MIN_PREFILL_RATE: f64 = 1.0;

/// Upper bound on predicted times.
const MAX_PREDICTION: Duration = Duration::from_secs(3600);

/// `SentWork` is a request that this node has sent since the last report.
#[derive(Debug, Clone, Copy, PartialEq)]
struct SentWork {
    at: Timestamp,
    uncached: Tokens,
    attempt: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct ReceivedReport {
    load: ReportedLoad,
    as_of: Timestamp,
    /// Whether this node got it from the upstream itself.
    is_direct: bool,
}

/// `UnstartedPrompt` is a prompt of this node whose first token has not arrived.
#[derive(Debug, Clone, Copy, PartialEq)]
struct UnstartedPrompt {
    uncached: Tokens,
    sent_at: Timestamp,
    /// Whether no other prompt was known to be queued before it.
    is_first: bool,
    /// Speed of the machine when it was sent, by the figure of the upstream.
    speed: Option<MachineSpeed>,
}

/// `OtherNodesWork` is the outstanding work that other nodes reported to have at the upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
struct OtherNodesWork {
    requests: u32,
    queued: Tokens,
    received_at: Timestamp,
}

/// `LoadView` is a node's view of the load of one upstream.
///
/// A report describes the upstream at an earlier time. The work that this node sent after that time
/// is added, and the work that the upstream should have done since is subtracted.
#[derive(Debug, Clone)]
pub struct LoadView {
    options: LoadOptions,
    report: Option<ReceivedReport>,
    /// Requests of this node that the last report does not count yet.
    sent: VecDeque<SentWork>,
    /// Prompts of this node whose first token has not arrived, by attempt.
    unstarted: HashMap<u64, UnstartedPrompt>,
    others: Option<OtherNodesWork>,
    /// End times of requests that the last report counts as running or queued.
    finished_at: VecDeque<Timestamp>,
    outstanding: u32,
    /// Moving average of the requests in the reports that state the speed of the machine.
    mean_requests: Option<f64>,
    speed_trust: SpeedTrust,
    prefill_rate: f64,
    service_time: f64,
}

impl Default for LoadView {
    fn default() -> Self {
        Self::new(LoadOptions::default())
    }
}

impl LoadView {
    /// Builds the view of an upstream without reports or requests.
    pub fn new(options: LoadOptions) -> Self {
        Self {
            options,
            report: None,
            sent: VecDeque::new(),
            unstarted: HashMap::default(),
            others: None,
            finished_at: VecDeque::new(),
            outstanding: 0,
            mean_requests: None,
            speed_trust: SpeedTrust::default(),
            prefill_rate: options.prefill_rate.0,
            service_time: options.service_time.as_secs_f64(),
        }
    }

    /// Records a report. A report that is older than the last one is ignored.
    pub fn on_report(&mut self, load: ReportedLoad, now: Timestamp) {
        self.apply_report(load, true, now);
    }

    /// Records a report that another node passed on. A report that is older than the last one is ignored.
    pub fn on_passed_report(&mut self, load: ReportedLoad, now: Timestamp) {
        self.apply_report(load, false, now);
    }

    /// Returns the last report with its present age, if the upstream sent it to this node within the last
    /// `period` and states the speed of its machine.
    pub fn direct_report(&self, period: Duration, now: Timestamp) -> Option<ReportedLoad> {
        self.report.filter(|report| report.is_direct)?;
        self.stated_report(period, now)
    }

    /// Returns the last report with its present age, if it is not older than `period` and states the speed of
    /// the machine.
    pub fn stated_report(&self, period: Duration, now: Timestamp) -> Option<ReportedLoad> {
        let report = self.report?;
        let age = now.since(report.as_of);
        let is_told = age <= period && report.load.time_percent.is_some();
        is_told.then_some(ReportedLoad { age, ..report.load })
    }

    fn apply_report(&mut self, load: ReportedLoad, is_direct: bool, now: Timestamp) {
        let as_of = now.minus(load.age);
        if self.report.is_some_and(|known| known.as_of > as_of) {
            return;
        }
        self.report = Some(ReceivedReport {
            load,
            as_of,
            is_direct,
        });
        if load.time_percent.is_some() {
            let requests = f64::from(load.running) + f64::from(load.queued);
            let mean = self.mean_requests.get_or_insert(requests);
            *mean += REPORT_WEIGHT * (requests - *mean);
        }
        self.discard_before(as_of);
    }

    /// Records a request that this node sends. `attempt` is unique among the node's requests to the
    /// upstream; `uncached` is the part of the prompt that the upstream is expected to process.
    pub fn on_sent(&mut self, attempt: u64, uncached: Tokens, now: Timestamp) {
        self.outstanding += 1;
        let others_queued = self.others.map_or(Tokens(0), |others| others.queued);
        let prompt = UnstartedPrompt {
            uncached,
            sent_at: now,
            is_first: self.unstarted.is_empty() && others_queued == Tokens(0),
            speed: self.stated_speed(now),
        };
        self.unstarted.insert(attempt, prompt);
        self.sent.push_back(SentWork {
            at: now,
            uncached,
            attempt,
        });
    }

    /// Records the first token of a request and updates the prefill rate, if `processed` says how
    /// many prompt tokens the upstream had to process. Returns the rate observed for this request,
    /// whatever the speed of the machine.
    ///
    /// The node's own estimate of the processed tokens is not used: it is too high whenever another
    /// node has filled the cache, and the prefill rate would then rise without bound.
    pub fn on_first_token(
        &mut self,
        attempt: u64,
        processed: Option<Tokens>,
        now: Timestamp,
    ) -> Option<TokenRate> {
        let prompt = self.unstarted.remove(&attempt)?;
        let processed = processed?;
        let seconds = now.since(prompt.sent_at).as_secs_f64();
        if processed.0 < MIN_SAMPLE_TOKENS || seconds <= 0.0 || !prompt.is_first {
            return None;
        }
        let observed = processed.0 as f64 / seconds;
        // The rate is that at the usual speed of the machine.
        let rate = match prompt.speed {
            Some(speed) => {
                self.speed_trust.record(
                    speed.time_of(seconds) / seconds,
                    self.prefill_rate / observed,
                );
                let usual = processed.0 as f64 / self.prefill_rate.max(MIN_PREFILL_RATE);
                observed * self.trusted(speed).time_of(usual) / usual
            }
            None => observed,
        };
        // Prompts of other nodes in the queue lower the observed rate, so the estimate falls
        // slowly.
        let weight = match rate > self.prefill_rate {
            true => self.options.learning_rate,
            false => self.options.learning_rate / FALL_SLOWDOWN,
        };
        self.prefill_rate += weight * (rate - self.prefill_rate);
        // The service needs as many replicas as its machines provide, the slow ones included.
        Some(TokenRate(observed))
    }

    /// Sets the estimated prefill rate.
    pub fn set_prefill_rate(&mut self, rate: TokenRate) {
        self.prefill_rate = rate.0;
    }

    /// Returns the estimated prefill rate.
    pub fn prefill_rate(&self) -> TokenRate {
        TokenRate(self.prefill_rate)
    }

    /// Records the end of a request of this node, which occupied a batch slot for `service_time`.
    pub fn on_finished(&mut self, attempt: u64, service_time: Duration, now: Timestamp) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.unstarted.remove(&attempt);
        let was_in_report = self.sent.iter().all(|work| work.attempt != attempt);
        self.sent.retain(|work| work.attempt != attempt);
        if was_in_report {
            self.finished_at.push_back(now);
        }
        let weight = self.options.learning_rate;
        self.service_time += weight * (service_time.as_secs_f64() - self.service_time);
    }

    /// Returns the number of outstanding requests of this node.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Records the outstanding requests and queued prompt tokens of all other nodes together.
    pub fn on_other_nodes(&mut self, requests: u32, queued: Tokens, now: Timestamp) {
        self.others = Some(OtherNodesWork {
            requests,
            queued,
            received_at: now,
        });
    }

    /// Returns the outstanding requests of all other nodes together, if their reports are recent.
    pub fn other_requests(&self, now: Timestamp) -> Option<u32> {
        let others = self.others.filter(|others| self.is_recent(others, now));
        others.map(|others| others.requests)
    }

    /// Returns the uncached tokens of this node's prompts whose first token has not arrived.
    pub fn own_queued(&self) -> Tokens {
        self.unstarted.values().map(|prompt| prompt.uncached).sum()
    }

    /// Returns the age of the state that the last report describes, if there is a report.
    pub fn report_age(&self, now: Timestamp) -> Option<Duration> {
        self.report.map(|report| now.since(report.as_of))
    }

    /// Returns the queued requests of the last report, unless it is older than `period`.
    pub fn reported_queue(&self, period: Duration, now: Timestamp) -> Option<u32> {
        let report = self
            .report
            .filter(|report| now.since(report.as_of) < period);
        report.map(|report| report.load.queued)
    }

    /// Returns the estimated load at `now`.
    pub fn estimate(&self, now: Timestamp) -> LoadEstimate {
        let report = self.report.filter(|report| self.is_fresh(report, now));
        let reported = report.map_or(0, |report| report.load.running + report.load.queued);
        let batch_limit = self.report.map(|report| report.load.batch_limit);
        let own = self.sent.len() as f64;
        let finished = self.finished_at.len() as f64;
        let others = self.others.filter(|others| self.is_recent(others, now));
        let known = self.outstanding + others.map_or(0, |others| others.requests);
        let requests = (f64::from(reported) + own - finished).max(f64::from(known));
        let queued = self.queued_tokens(report, now);
        let reports_queue = report.is_some_and(|report| report.load.queued_tokens.is_some());
        let queued = match reports_queue {
            true => queued,
            // Prompts without a first token are still queued, however long ago they were sent.
            false => queued.max(self.own_queued().0 as f64 + self.others_queued(others, now)),
        };
        LoadEstimate {
            queued_tokens: queued,
            requests,
            batch_limit: batch_limit.unwrap_or(self.options.batch_limit),
            prefill_rate: TokenRate(self.prefill_rate),
            service_time: Duration::from_secs_f64(self.service_time),
            speed: self.speed(now),
        }
    }

    /// Records how long a call of this node without a prompt took. `usual` is the usual time of the calls
    /// of the service. Returns the time that the call would have taken at the usual speed of the machine.
    pub fn on_call(
        &mut self,
        attempt: u64,
        usual: Option<Duration>,
        elapsed: Duration,
    ) -> Option<Duration> {
        let call = self.unstarted.get(&attempt)?;
        let Some(speed) = call.speed else {
            return Some(elapsed);
        };
        let elapsed = elapsed.as_secs_f64();
        let usual = usual
            .map_or(elapsed, |usual| usual.as_secs_f64())
            .max(f64::EPSILON);
        self.speed_trust
            .record(speed.time_of(usual) / usual, elapsed / usual);
        let factor = self.trusted(speed).time_of(usual) / usual;
        Some(Duration::from_secs_f64(elapsed / factor))
    }

    /// Returns the speed of the machine by the last report, if it states it.
    pub fn speed(&self, now: Timestamp) -> Option<MachineSpeed> {
        let stated = self.stated_speed(now)?;
        Some(self.trusted(stated))
    }

    /// Returns the expected load of an upstream that gets calls without prompts and states the speed of
    /// its machine.
    pub fn plain_load(&self, call_time: Option<Duration>, now: Timestamp) -> Option<PlainLoad> {
        let report = self.report?;
        let speed = self.speed(now)?;
        let reported = f64::from(report.load.running) + f64::from(report.load.queued);
        let expected = expected_calls(
            reported,
            self.mean_requests.unwrap_or(reported),
            now.since(report.as_of),
            call_time.unwrap_or(DEFAULT_CALL_TIME),
        );
        Some(PlainLoad {
            calls: (expected + self.sent.len() as f64).max(f64::from(self.outstanding)),
            slots: report.load.batch_limit,
            speed,
            call_time,
        })
    }

    fn stated_speed(&self, now: Timestamp) -> Option<MachineSpeed> {
        let report = self.report?;
        let percent = report.load.time_percent?;
        Some(MachineSpeed::new(percent, now.since(report.as_of)))
    }

    /// Returns the speed, or the usual speed if the figures of the upstream were found wrong.
    fn trusted(&self, speed: MachineSpeed) -> MachineSpeed {
        match self.speed_trust.is_trusted() {
            true => speed,
            false => MachineSpeed::default(),
        }
    }

    /// Simulates the queue from the time of the report to `now`: the requests of this node are
    /// added when they were sent, and the upstream drains the queue at the estimated prefill rate.
    fn queued_tokens(&self, report: Option<ReceivedReport>, now: Timestamp) -> f64 {
        let start = report.map(|report| report.as_of);
        let reported = report.and_then(|report| report.load.queued_tokens);
        let mut queued = reported.unwrap_or_default().0 as f64;
        let mut at = start.unwrap_or_default();
        for work in &self.sent {
            queued = self.drained(queued, at, work.at) + work.uncached.0 as f64;
            at = at.max(work.at);
        }
        self.drained(queued, at, now)
    }

    /// Returns the prompt tokens of other nodes that should still be queued.
    fn others_queued(&self, others: Option<OtherNodesWork>, now: Timestamp) -> f64 {
        others.map_or(0.0, |others| {
            self.drained(others.queued.0 as f64, others.received_at, now)
        })
    }

    fn is_recent(&self, others: &OtherNodesWork, now: Timestamp) -> bool {
        now.since(others.received_at) <= self.options.max_report_age
    }

    /// Returns the tokens of a queue that remain at `to`.
    fn drained(&self, queued: f64, from: Timestamp, to: Timestamp) -> f64 {
        let seconds = to.since(from).as_secs_f64();
        (queued - self.prefill_rate * seconds).max(0.0)
    }

    fn is_fresh(&self, report: &ReceivedReport, now: Timestamp) -> bool {
        now.since(report.as_of) <= self.options.max_report_age
    }

    fn discard_before(&mut self, as_of: Timestamp) {
        self.sent.retain(|work| work.at > as_of);
        self.finished_at.retain(|at| *at > as_of);
    }
}

/// Weight of a report in the moving average of reported requests.
const REPORT_WEIGHT: f64 = 0.2;

/// Minimum number of processed tokens of a request that updates the prefill rate.
const MIN_SAMPLE_TOKENS: u64 = 512;

/// Factor by which the prefill rate falls more slowly than it rises.
const FALL_SLOWDOWN: f64 = 4.0;
