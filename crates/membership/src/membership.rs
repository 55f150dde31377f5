//! The start of the membership and of the spread of news.

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
    news::{self, NewsHandle, NewsOptions, NewsParts},
    options::MembershipOptions,
    task::MembershipTask,
    time::WallClock,
    transport::PeerTransport,
};

/// Commands that may wait for the task.
const COMMAND_QUEUE: usize = 1_024;

/// Peers with differing news that may wait for the news task.
const DIFFERING_QUEUE: usize = 16;

/// Ticks in one probe period.
const TICKS_PER_PROBE: u32 = 4;

/// `Membership` is what the membership of a node starts from.
pub struct Membership {
    /// Options of the membership.
    pub options: MembershipOptions,
    /// Options of the spread of news.
    pub news_options: NewsOptions,
    /// How this node presents itself.
    pub identity: NodeIdentity,
    /// Addresses at which other nodes may be found. This node's own address is ignored.
    pub seeds: Vec<SocketAddr>,
    /// Carries messages to other nodes.
    pub transport: Arc<dyn PeerTransport>,
    /// Time of day.
    pub clock: WallClock,
    /// Source of randomness.
    pub rng: StdRng,
}

/// `MembershipHandles` are the handles of the started tasks.
#[derive(Debug, Clone)]
pub struct MembershipHandles {
    /// Handle of the membership.
    pub membership: MembershipHandle,
    /// Handle of the news.
    pub news: NewsHandle,
}

impl Membership {
    /// Starts the tasks of the membership and of the news. They end when their handles are dropped.
    ///
    /// # Errors
    ///
    /// [`Error::Chart`](crate::Error::Chart) when the embedded chart is faulty.
    pub fn start(mut self, timer: &TimerService) -> Result<MembershipHandles> {
        let period = self.options.probe_period / TICKS_PER_PROBE;
        // A random phase keeps nodes that start together from probing at the same moments.
        let first = self.rng.random_range(Duration::ZERO..period);
        let ticks = timer.subscribe(first, period);
        self.start_with_ticks(ticks, timer)
    }

    /// Does the same as [`start`](Self::start) with given ticks of the failure detector.
    ///
    /// # Errors
    ///
    /// [`Error::Chart`](crate::Error::Chart) when the embedded chart is faulty.
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
        let (differing_tx, differing) = mpsc::channel(DIFFERING_QUEUE);
        let task = MembershipTask {
            options: self.options,
            detector,
            transport: self.transport.clone(),
            members: members_tx,
            news: digest,
            differing: differing_tx,
        };
        tokio::spawn(task.run(commands, ticks));
        let parts = NewsParts {
            options: self.news_options,
            transport: self.transport,
            clock: self.clock,
            members: members.clone(),
            me,
            digest: digest_tx,
            differing,
        };
        Ok(MembershipHandles {
            membership: MembershipHandle::new(commands_tx, members),
            news: news::spawn(parts, timer),
        })
    }
}
