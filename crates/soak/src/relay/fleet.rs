//! Platform, replicas and nodes of a run.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::{Result, bail};
use futures_util::{StreamExt as _, TryStreamExt as _, future::try_join_all, stream};
use http::{HeaderMap, Method, StatusCode};
use serde_json::{Value, json};
use tokio::{
    task::spawn_blocking,
    time::{Instant, sleep},
};
use verbenahead_standins::{
    client::JsonClient,
    link::{Link, LinkChange, LinkMode, LinkOptions, NewConnections},
    process::workspace_program,
    users::{ReplicaBehaviour, StoreFault, UsersPlatform, UsersReplica, rows::Rows},
};

use super::{
    configuration::{ConfigurationDraw, PLAIN_SERVICE, STREAMING_SERVICES},
    node::{LogLines, PlatformAddresses, RelayNode},
    options::RelaySoakOptions,
    records::{ConfigurationRecord, Records, StoreFaultRecord, lock},
    schedule::{Departure, ZONES},
};

/// Number of events of a whole stream.
pub const STREAM_EVENTS: u64 = 50;

/// Time that a replica takes for a plain request.
const PLAIN_TIME: Duration = Duration::from_millis(15);

/// Services of the first replicas, in turn.
const SERVICE_TURNS: [&str; 4] = [
    STREAMING_SERVICES[0],
    STREAMING_SERVICES[1],
    PLAIN_SERVICE,
    STREAMING_SERVICES[0],
];

/// Log lines that are kept of all nodes together.
const MAX_LOG_LINES: usize = 600_000;

/// Nodes that start at the same time.
const CONCURRENT_STARTS: usize = 8;

/// Longest wait for a started node to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// `ReplicaState` is what has happened to a replica.
#[derive(Debug, Default)]
pub struct ReplicaState {
    /// The way it leaves, and the time of its notice.
    pub notice: Option<(Departure, Instant)>,
    /// Time from which the store knows that it leaves.
    pub notice_known_at: Option<Instant>,
    /// Time of its exit.
    pub gone_at: Option<Instant>,
}

/// `FleetReplica` is a replica, which is kept after its exit with its runs.
#[derive(Debug)]
pub struct FleetReplica {
    /// Id of the replica.
    pub id: String,
    /// Service of the replica.
    pub service: &'static str,
    /// Its zone.
    pub zone: &'static str,
    /// The stand-in.
    pub standin: UsersReplica,
    /// What has happened to it.
    pub state: Mutex<ReplicaState>,
}

/// `NodeSlot` holds the node of a slot, or none between two processes.
#[derive(Debug)]
pub struct NodeSlot {
    /// Name of the node.
    pub name: String,
    zone: &'static str,
    /// Link from its processes to the store.
    pub store_link: Link,
    /// Its process.
    pub node: Mutex<Option<RelayNode>>,
    /// Address for new connections, or `None` while the slot gets none.
    pub address: Mutex<Option<SocketAddr>>,
    /// Log lines of all its processes.
    pub log: Arc<LogLines>,
    /// Whether its next process is one of the older build.
    pub is_older: AtomicBool,
}

/// `Fleet` is everything that runs.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: UsersPlatform,
    /// Replicas, those that have left included.
    pub replicas: Mutex<Vec<Arc<FleetReplica>>>,
    /// Nodes by slot.
    pub nodes: Vec<NodeSlot>,
    /// What has been seen.
    pub records: Records,
    /// Number of replicas at the start.
    pub size: usize,
    program: PathBuf,
    older: Option<PathBuf>,
    /// Rows of the operator and the replicas, as they wrote them last, by table and key.
    written: Mutex<BTreeMap<(&'static str, String), Value>>,
    /// Faults of the store that have begun and not ended.
    store_faults: Mutex<Vec<StoreFault>>,
    started: AtomicU64,
    version: AtomicU64,
}

impl Fleet {
    /// Starts a platform with a configuration, replicas and nodes.
    ///
    /// # Errors
    ///
    /// When the program has not been built, or something does not start.
    pub async fn start(options: &RelaySoakOptions) -> Result<Self> {
        let platform = UsersPlatform::start().await?;
        let store = platform.address();
        let slot = async |n: usize| {
            anyhow::Ok(NodeSlot {
                name: format!("node-{n}"),
                zone: ZONES[n % ZONES.len()],
                store_link: Link::start(LinkOptions::new(store)).await?,
                node: Mutex::default(),
                address: Mutex::default(),
                log: Arc::new(LogLines::new(MAX_LOG_LINES / options.nodes.max(1))),
                is_older: AtomicBool::new(options.older.is_some()),
            })
        };
        let nodes = try_join_all((0..options.nodes).map(slot)).await?;
        let fleet = Self {
            platform,
            replicas: Mutex::default(),
            nodes,
            records: Records::default(),
            size: options.replicas,
            program: match &options.program {
                Some(program) => program.clone(),
                None => workspace_program("verbenahead")?,
            },
            older: options.older.clone(),
            written: Mutex::default(),
            store_faults: Mutex::default(),
            started: AtomicU64::new(0),
            version: AtomicU64::new(3),
        };
        fleet.publish(ConfigurationDraw::default());
        for n in 0..options.replicas {
            let service = SERVICE_TURNS[n % SERVICE_TURNS.len()];
            fleet
                .start_replica(service, ZONES[n / 2 % ZONES.len()])
                .await?;
        }
        let starts = (0..options.nodes).map(|slot| fleet.start_node(slot));
        let starts = stream::iter(starts).buffer_unordered(CONCURRENT_STARTS);
        starts.try_collect::<()>().await?;
        Ok(fleet)
    }

    /// Publishes a configuration.
    pub fn publish(&self, draw: ConfigurationDraw) {
        let version = self.version.fetch_add(7, Ordering::Relaxed);
        self.put("op", "config", draw.to_json(version));
        self.records.configurations().push(ConfigurationRecord {
            at: Instant::now(),
            stream_timeout: Duration::from_millis(draw.stream_timeout_ms),
        });
    }

    /// Puts the store under a fault for some time. Of several faults at once, the latest one shows.
    pub async fn disturb_store(&self, fault: StoreFault, time: Duration) {
        self.disturb_store_until(fault, sleep(time)).await;
    }

    /// Puts the store under a fault until `end` completes.
    pub async fn disturb_store_until(&self, fault: StoreFault, end: impl Future<Output = ()>) {
        let index = {
            let mut records = self.records.store_faults();
            let (from, until) = (Instant::now(), None);
            records.push(StoreFaultRecord { from, until });
            records.len() - 1
        };
        self.change_store_faults(|faults| faults.push(fault));
        end.await;
        self.change_store_faults(|faults| {
            if let Some(begun) = faults.iter().position(|begun| *begun == fault) {
                faults.remove(begun);
            }
        });
        self.records.store_faults()[index].until = Some(Instant::now());
    }

    /// Cuts a node off from the store for some time. Connections that go silent stay so.
    pub async fn cut_off(&self, slot: usize, mode: LinkMode, time: Duration) {
        let index = {
            let mut records = self.records.store_faults();
            let (from, until) = (Instant::now(), None);
            records.push(StoreFaultRecord { from, until });
            records.len() - 1
        };
        let link = &self.nodes[slot].store_link;
        let new_connections = match mode {
            LinkMode::Cut => NewConnections::Refused,
            _ => NewConnections::Unanswered,
        };
        link.set(LinkChange {
            mode,
            new_connections,
            delay_ms: None,
        });
        sleep(time).await;
        link.set(LinkChange::default());
        self.records.store_faults()[index].until = Some(Instant::now());
    }

    fn change_store_faults(&self, change: impl FnOnce(&mut Vec<StoreFault>)) {
        let mut faults = lock(&self.store_faults);
        change(&mut faults);
        let latest = faults.last().copied();
        self.platform.set_fault(latest.unwrap_or_default());
    }

    /// Starts and registers a replica.
    ///
    /// # Errors
    ///
    /// When no port can be listened on.
    pub async fn start_replica(&self, service: &'static str, zone: &'static str) -> Result<()> {
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let id = format!("i-{number}");
        let behaviour = regular_behaviour(service, number);
        let replica = FleetReplica {
            standin: UsersReplica::start(&id, behaviour).await?,
            id,
            service,
            zone,
            state: Mutex::default(),
        };
        replica.standin.check_targets();
        replica.standin.limit_broken_streams(STREAM_EVENTS - 1);
        self.register(&replica, "ready", None);
        lock(&self.replicas).push(Arc::new(replica));
        Ok(())
    }

    /// Writes the registration of a replica. `leaves_ms` is the remaining time in milliseconds.
    pub fn register(&self, replica: &FleetReplica, state: &str, leaves_ms: Option<u64>) {
        let mut entry = json!({
            "service": replica.service, "address": replica.standin.address().to_string(),
            "zone": replica.zone, "version": "v1", "slots": 8, "state": state,
            "cold_remaining_ms": 0, "sequence": 1, "born": 1_772_997_287_021_u64,
        });
        if let Some(leaves_ms) = leaves_ms {
            entry["leaves_ms"] = leaves_ms.into();
            entry["spot"] = true.into();
        }
        self.put("servers", &replica.id, entry);
    }

    /// Removes the registration of a replica.
    pub fn unregister(&self, replica: &FleetReplica) {
        lock(&self.written).remove(&("servers", replica.id.clone()));
        self.platform.remove("servers", &replica.id);
    }

    fn put(&self, table: &'static str, key: &str, value: Value) {
        let mut written = lock(&self.written);
        self.platform.put(table, key, &value);
        written.insert((table, key.to_owned()), value);
    }

    /// Lets the store come back from a copy. The operator and the replicas write their rows again.
    pub fn restore(&self, copy: Rows) {
        let written = lock(&self.written);
        self.platform.restore(copy);
        for ((table, key), value) in written.iter() {
            self.platform.put(table, key, value);
        }
        for key in self.platform.keys("servers") {
            if !written.contains_key(&("servers", key.clone())) {
                self.platform.remove("servers", &key);
            }
        }
    }

    /// Returns the replicas without a notice, oldest first.
    pub fn ready_replicas(&self) -> Vec<Arc<FleetReplica>> {
        let mut replicas = lock(&self.replicas).clone();
        replicas.retain(|replica| lock(&replica.state).notice.is_none());
        replicas
    }

    /// Starts the node of a slot, waits until it is ready and opens it for new connections.
    ///
    /// # Errors
    ///
    /// When the node does not start or is not ready in time.
    pub async fn start_node(&self, slot: usize) -> Result<()> {
        let slot = &self.nodes[slot];
        let (name, zone) = (slot.name.clone(), slot.zone);
        let platform = PlatformAddresses {
            store: slot.store_link.address(),
            duties: self.platform.address(),
        };
        let older = slot
            .is_older
            .load(Ordering::Relaxed)
            .then_some(self.older.as_ref());
        let program = older.flatten().unwrap_or(&self.program).clone();
        let log = Arc::clone(&slot.log);
        let start = move || RelayNode::start(&program, platform, &name, zone, log);
        let node = spawn_blocking(start).await??;
        let callers = node.callers;
        let readiness = node.process.address_of("readiness")?;
        *lock(&slot.node) = Some(node);
        let until = Instant::now() + READY_TIMEOUT;
        while !is_ready(readiness).await {
            if Instant::now() >= until {
                bail!("soak: {} is not ready", slot.name);
            }
            sleep(Duration::from_millis(50)).await;
        }
        *lock(&slot.address) = Some(callers);
        Ok(())
    }
}

/// Returns how a replica treats requests without a fault. `number` selects its speed.
pub fn regular_behaviour(service: &str, number: u64) -> ReplicaBehaviour {
    if service == PLAIN_SERVICE {
        return ReplicaBehaviour::Answer(StatusCode::OK, PLAIN_TIME);
    }
    let pause = Duration::from_millis(25 + number % 5 * 15);
    ReplicaBehaviour::StreamTo(STREAM_EVENTS, pause)
}

async fn is_ready(address: SocketAddr) -> bool {
    let client = JsonClient::new(address);
    let reply = client.call(Method::GET, "/readiness", HeaderMap::new(), "");
    reply
        .await
        .is_ok_and(|reply| reply.status == StatusCode::OK)
}
