//! Starts the membership task and the news task.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng as _, rngs::StdRng};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};
use verbenahead_core::timer::{Tick, TimerService};

use crate::{
    detector::Detector,
    errors::Result,
    handle::MembershipHandle,
    member::NodeIdentity,
    message::StateDigest,
    news::{self, NewsHandle, NewsOptions, NewsTaskArgs},
    options::MembershipOptions,
    task::MembershipTask,
    time::WallClock,
    transport::PeerTransport,
};

/// Capacity of the membership task's command queue, in commands.
const COMMAND_QUEUE: usize = 1_024;

/// Capacity of the queue of peers whose news digest differs, in addresses.
const DIGEST_MISMATCH_QUEUE: usize = 16;

/// Number of detector ticks in one probe period.
const TICKS_PER_PROBE: u32 = 4;

/// `Membership` holds the configuration and the dependencies of the membership of a node.
pub struct Membership {
    /// Options of the membership.
    pub options: MembershipOptions,
    /// Options of the dissemination of news.
    pub news_options: NewsOptions,
    /// Identity that this node announces to the others.
    pub identity: NodeIdentity,
    /// Addresses at which other nodes may be found. This node's own address is ignored.
    pub seeds: Vec<SocketAddr>,
    /// Transport of messages to other nodes.
    pub transport: Arc<dyn PeerTransport>,
    /// Source of the time of day.
    pub clock: WallClock,
    /// Source of randomness.
    pub rng: StdRng,
}

/// `MembershipHandles` holds the handles of the started tasks.
#[derive(Debug, Clone)]
pub struct MembershipHandles {
    /// Handle of the membership.
    pub membership: MembershipHandle,
    /// Handle of the news.
    pub news: NewsHandle,
}

impl Membership {
    /// Starts the membership task and the news task. They end when their handles are dropped.
    ///
    /// # Errors
    ///
    /// [`Error::Chart`](crate::Error::Chart) when the embedded state chart is invalid.
    pub fn start(mut self, timer: &TimerService) -> Result<MembershipHandles> {
        let period = self.options.probe_period / TICKS_PER_PROBE;
        // A random phase keeps nodes that start together from probing at the same moments.
        let first = self.rng.random_range(Duration::ZERO..period);
        let ticks = timer.subscribe(first, period);
        self.start_with_ticks(ticks, timer)
    }

    /// Starts the tasks as [`start`](Self::start) does, but drives the failure detector by `ticks`.
    ///
    /// # Errors
    ///
    /// [`Error::Chart`](crate::Error::Chart) when the embedded state chart is invalid.
    pub fn start_with_ticks(
        self,
        ticks: mpsc::Receiver<Tick>,
        timer: &TimerService,
    ) -> Result<MembershipHandles> {
        let me = self.identity.node.clone();
        let detector = Detector::try_new(
            self.options.clone(),
            self.identity,
            self.seeds,
            self.rng,
            Instant::now(),
        )?;
        let (commands_tx, commands) = mpsc::channel(COMMAND_QUEUE);
        let (members_tx, members) = watch::channel(Arc::new(detector.members()));
        let (digest_tx, digest) = watch::channel(StateDigest::default());
        let (digest_mismatches_tx, digest_mismatches) = mpsc::channel(DIGEST_MISMATCH_QUEUE);
        let task = MembershipTask {
            options: self.options,
            detector,
            transport: self.transport.clone(),
            members: members_tx,
            news: digest,
            digest_mismatches: digest_mismatches_tx,
        };
        tokio::spawn(task.run(commands, ticks));
        let args = NewsTaskArgs {
            options: self.news_options,
            transport: self.transport,
            clock: self.clock,
            members: members.clone(),
            me,
            digest: digest_tx,
            digest_mismatches,
        };
        Ok(MembershipHandles {
            membership: MembershipHandle::new(commands_tx, members),
            news: news::spawn(args, timer),
        })
    }
}
