//! Requests of this node to the collectors of quotas, and the answers to them, in time and late.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    sync::mpsc,
    time::{Instant, timeout_at},
};
use verbenahead_core::NodeId;
use verbenahead_membership::{GrantDecision, GrantRequest, QuotaMessage};
use verbenahead_policy::Timestamp;

use super::{Collector, QuotaRefusal, SharedQuotas, State};

/// Time for which the answer to a request that was given up is still used to learn the answer time.
const LATE_ANSWER_TIME: Duration = Duration::from_secs(4);

/// Number of messages without an answer that are remembered, about those of 4 s at a thousand per second.
const MAX_WAITING: usize = 4_096;

/// `Reply` is what another node sends back for a request.
#[derive(Debug, Clone, Copy)]
pub(super) enum Reply {
    Answer(GrantDecision),
    PassedOn,
}

/// `Waiting` is a message that has no answer yet.
pub(super) struct Waiting {
    /// Receiver of the replies, unless the request was given up.
    replies: Option<mpsc::Sender<(u64, Reply)>>,
    /// Node that the message was sent to, until it replied.
    node: Option<NodeId>,
    sent_at: Timestamp,
}

/// `Patience` is how long a request for a grant may take.
#[derive(Debug, Clone, Copy)]
pub(super) struct Patience {
    /// Time after which no further collector is asked.
    pub end: Instant,
    /// Time up to which an answer is used.
    pub last: Instant,
    /// Whether another node passed the request on, and waits for late answers itself.
    pub is_passed_on: bool,
}

impl SharedQuotas {
    /// Asks the collector, and the next ones while there is no answer. Calls `on_silence` for each one that does
    /// not answer in time; its late answer is used while another one is asked. Returns the address of the node
    /// that granted the request, or `None` if this node did.
    pub(super) async fn request(
        &self,
        request: GrantRequest,
        hops: u32,
        patience: Patience,
        on_silence: impl Fn(),
    ) -> Result<Option<SocketAddr>, QuotaRefusal> {
        let mut asks = Asks::new(self, patience);
        let mut refusal = None;
        while refusal.is_none() && Instant::now() < patience.end {
            match self.collector(request.quota, hops) {
                None => break,
                Some(Collector::Own(role)) => match self.decide(&request, role) {
                    Ok(()) => return Ok(None),
                    Err(refused) => refusal = Some(refused),
                },
                // Its late answer ended the suspicion meanwhile. Asking it again would charge twice.
                Some(Collector::Other(node, _)) if asks.contains(&node) => break,
                Some(Collector::Other(node, address)) => {
                    match asks.ask(&node, address, request, hops).await {
                        Some(decided) if asks.is_final(&decided) => return decided.result(),
                        Some(decided) => refusal = decided.result().err(),
                        None => {
                            if asks.suspect_last() {
                                tracing::info!(%node, "collector of a quota does not answer");
                            }
                            on_silence();
                        }
                    }
                }
            }
        }
        // A stand-in that refuses does not know what the late collector grants.
        let until = match refusal {
            None => patience.last,
            Some(_) if patience.is_passed_on => Instant::now(),
            Some(_) => patience.end,
        };
        while asks.has_outstanding() {
            match asks.next_decision(until).await {
                Some(decided) if asks.is_final(&decided) => return decided.result(),
                Some(decided) => refusal = decided.result().err(),
                None => break,
            }
        }
        Err(refusal.unwrap_or(QuotaRefusal::NoCollector))
    }

    pub(super) fn reply(&self, number: u64, reply: Reply) {
        let now = self.now();
        let mut state = self.lock();
        let Some(waiting) = state.waiting.get_mut(&number) else {
            return;
        };
        if let Some(replies) = &waiting.replies {
            // A full channel holds an answer already.
            let _ = replies.try_send((number, reply));
        }
        let (node, sent_at) = (waiting.node.take(), waiting.sent_at);
        if matches!(reply, Reply::Answer(_)) {
            state.waiting.remove(&number);
        }
        // The answer to a request that was passed on tells nothing about the node that passed it on.
        if let Some(node) = node
            && state.timing.record_answer(&node, sent_at, now)
            && state.choice.clear(&node)
        {
            let elapsed_ms = now.since(sent_at).as_millis() as u64;
            let allowed_ms = state.timing.limit(&node, now).as_millis() as u64;
            tracing::info!(%node, elapsed_ms, allowed_ms, "collector of a quota answers again");
        }
    }
}

impl State {
    /// Remembers a message whose answer is expected.
    pub(super) fn expect_answer(
        &mut self,
        number: u64,
        node: &NodeId,
        replies: Option<mpsc::Sender<(u64, Reply)>>,
        now: Timestamp,
    ) {
        self.timing.record_sent(node, now);
        let waiting = Waiting {
            replies,
            node: Some(node.clone()),
            sent_at: now,
        };
        self.waiting.insert(number, waiting);
    }

    /// Forgets messages whose answers are too late even to learn from them.
    pub(super) fn forget_late_answers(&mut self, now: Timestamp) {
        self.waiting.retain(|_, waiting| {
            waiting.replies.is_some() || now.since(waiting.sent_at) < LATE_ANSWER_TIME
        });
    }
}

/// `Decided` is the decision of another node.
struct Decided {
    index: usize,
    from: SocketAddr,
    decision: GrantDecision,
}

impl Decided {
    fn result(&self) -> Result<Option<SocketAddr>, QuotaRefusal> {
        match self.decision {
            GrantDecision::Granted => Ok(Some(self.from)),
            GrantDecision::UsedUp(wait) => Err(QuotaRefusal::UsedUp(wait)),
            GrantDecision::NoCollector => Err(QuotaRefusal::NoCollector),
        }
    }
}

/// `Ask` is a message for a request.
struct Ask {
    number: u64,
    node: NodeId,
    address: SocketAddr,
    sent_at: Instant,
    limit: Duration,
    is_answered: bool,
}

/// `Asks` holds the messages for one request.
struct Asks<'a> {
    quotas: &'a SharedQuotas,
    patience: Patience,
    replies_tx: mpsc::Sender<(u64, Reply)>,
    replies: mpsc::Receiver<(u64, Reply)>,
    sent: Vec<Ask>,
}

impl<'a> Asks<'a> {
    fn new(quotas: &'a SharedQuotas, patience: Patience) -> Self {
        let (replies_tx, replies) = mpsc::channel(16);
        Self {
            quotas,
            patience,
            replies_tx,
            replies,
            sent: Vec::new(),
        }
    }

    fn contains(&self, node: &NodeId) -> bool {
        self.sent.iter().any(|ask| ask.node == *node)
    }

    fn has_outstanding(&self) -> bool {
        self.sent.iter().any(|ask| !ask.is_answered)
    }

    /// Returns whether a decision needs no other one: a grant, or a refusal by the first node that was asked or
    /// without an outstanding answer of that node.
    fn is_final(&self, decided: &Decided) -> bool {
        decided.decision == GrantDecision::Granted || self.sent[0].is_answered || decided.index == 0
    }

    /// Suspects the node that was asked last, unless the request has less time than is allowed to that node.
    fn suspect_last(&self) -> bool {
        let Some(ask) = self.sent.last() else {
            return false;
        };
        let is_suspected = ask.sent_at.elapsed() >= ask.limit;
        if is_suspected {
            let now = self.quotas.now();
            self.quotas.lock().choice.suspect(&ask.node, now);
        }
        is_suspected
    }

    /// Asks a node and waits for a decision of any node that was asked. Returns `None` without one in time.
    async fn ask(
        &mut self,
        node: &NodeId,
        address: SocketAddr,
        request: GrantRequest,
        hops: u32,
    ) -> Option<Decided> {
        let options = &self.quotas.options;
        let number = self.quotas.next_number();
        let start = Instant::now();
        let now = self.quotas.now();
        let limit = {
            let mut state = self.quotas.lock();
            state.expect_answer(number, node, Some(self.replies_tx.clone()), now);
            state.timing.limit(node, now)
        };
        let shortest = start + options.timing.min_limit;
        let mut end = (start + limit).min(shortest.max(self.patience.last));
        let resend_at = start + options.resend_after.max(limit / 4);
        self.sent.push(Ask {
            number,
            node: node.clone(),
            address,
            sent_at: start,
            limit,
            is_answered: false,
        });
        let message = |is_repeat| QuotaMessage::Ask {
            number,
            is_repeat,
            hops,
            request,
        };
        self.quotas.transport.send(address, &message(false));
        let mut is_resent = false;
        loop {
            let until = if is_resent { end } else { resend_at.min(end) };
            match timeout_at(until, self.replies.recv()).await {
                Ok(Some((number, Reply::Answer(decision)))) => {
                    if let Some(decided) = self.settle(number, decision) {
                        return Some(decided);
                    }
                }
                Ok(Some((from, Reply::PassedOn))) if from == number => {
                    // The node that it was passed on to may answer late.
                    let now = Instant::now();
                    let longest = now + options.timing.max_limit;
                    end = (now + options.pass_on_timeout).max(longest.min(self.patience.last));
                    is_resent = true;
                }
                Ok(Some((_, Reply::PassedOn))) => {}
                Ok(None) => return None,
                Err(_) if is_resent || until == end => return None,
                Err(_) => {
                    is_resent = true;
                    self.quotas.transport.send(address, &message(true));
                }
            }
        }
    }

    /// Waits for a decision of any node that was asked.
    async fn next_decision(&mut self, until: Instant) -> Option<Decided> {
        loop {
            let (number, reply) = timeout_at(until, self.replies.recv()).await.ok()??;
            if let Reply::Answer(decision) = reply
                && let Some(decided) = self.settle(number, decision)
            {
                return Some(decided);
            }
        }
    }

    fn settle(&mut self, number: u64, decision: GrantDecision) -> Option<Decided> {
        let index = self.sent.iter().position(|ask| ask.number == number)?;
        let ask = &mut self.sent[index];
        ask.is_answered = true;
        Some(Decided {
            index,
            from: ask.address,
            decision,
        })
    }
}

impl Drop for Asks<'_> {
    fn drop(&mut self) {
        let mut state = self.quotas.lock();
        let is_full = state.waiting.len() > MAX_WAITING;
        for ask in &self.sent {
            if ask.is_answered || is_full {
                state.waiting.remove(&ask.number);
            } else if let Some(waiting) = state.waiting.get_mut(&ask.number) {
                waiting.replies = None;
            }
        }
    }
}
