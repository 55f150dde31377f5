//! The holder of the duties is cut off from the store, another node takes over, and the store comes back from a copy
//! that is some seconds old.

use std::{
    collections::{BTreeMap, VecDeque},
    env::temp_dir,
    fs,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    ops::RangeInclusive,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    http::is_closed,
    store::{Copy, DutyCall, Store},
    world::{Calls, DESK, Machine, Node, Record, call_steadily, configuration, start_replica, unix_ms},
};

const MACHINE: Machine = Machine { memory_mb: 182, descriptors: 2_870 };

/// `usage_window_s` of the site, in milliseconds.
const WINDOW_MS: u128 = 5_000;

/// `stable_window_ms` of the site.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Longest cut from the store, as in the site file.
const CUT: Duration = Duration::from_millis(5_500);

/// Time for which the store is away before it comes back from the copy.
const AWAY: Duration = Duration::from_millis(300);

/// Time from the begin of the cut to the end of a window of usage. The holder cannot report this window, and its
/// successor does so at once.
const CUT_BEFORE_WINDOW_END: RangeInclusive<u128> = 1_200..=2_400;

/// Time from the last renewal of the lease to the cut, in milliseconds.
const CUT_AFTER_RENEWAL: RangeInclusive<u128> = 800..=950;

/// Time from the copy to the cut. The holder renews its lease meanwhile.
const COPY_BEFORE_CUT: Duration = Duration::from_millis(1_300);

/// Tries, since another holder does not always act before the cut heals.
const TRIES: usize = 3;

/// Time after the disruptions in which calls are judged.
const JUDGED: Duration = Duration::from_secs(25);

/// The path of one node to the store, which can be cut. A cut is silent: bytes are held up until it heals, and lost if
/// their sender has closed the connection by then.
struct Link {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    fn start(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        thread::spawn(move || {
            for node in listener.incoming().flatten() {
                let Ok(store) = TcpStream::connect(store) else { continue };
                let _ = (node.set_nodelay(true), store.set_nodelay(true));
                for (from, to) in [(&node, &store), (&store, &node)] {
                    if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                        let cut = Arc::clone(&cut);
                        thread::spawn(move || pass_on(from, to, &cut));
                    }
                }
            }
        });
        Self { address, is_cut }
    }

    fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buf = [0; 16 * 1024];
    while let Ok(count) = from.read(&mut buf) {
        let was_cut = is_cut.load(Ordering::Relaxed);
        while is_cut.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(2));
        }
        if count == 0 || was_cut && is_closed(&from) || to.write_all(&buf[..count]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

/// Returns whether a holder acted with a lower fencing token than the platform had seen, or `None` if the case could not
/// run.
pub fn run(program: &Path, folder: &Path, has_trouble: bool) -> Option<bool> {
    let record = Record::open(folder);
    let temp = temp_dir().join(format!("review-lease-{}", std::process::id()));
    fs::create_dir_all(&temp).ok()?;
    let store = Store::start();
    store.put("op", "config", &configuration(7));
    let _replicas: Vec<_> = (1..=4).map(|n| start_replica(&store, &format!("i-d{n}"), DESK)).collect();
    let links: Vec<_> = (0..3).map(|_| Link::start(store.address)).collect();
    let mut nodes: Vec<_> = links
        .iter()
        .enumerate()
        .map(|(n, link)| Node::start_with(program, &temp, link.address, store.address, n as u8 + 1, MACHINE))
        .collect();
    if !nodes.iter_mut().all(|node| node.wait_ready(Duration::from_secs(10))) {
        return None;
    }
    let calls = Arc::new(Calls::default());
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = nodes
        .iter()
        .map(|node| {
            let (to, calls, stop, record) = (node.callers, Arc::clone(&calls), Arc::clone(&stop), Arc::clone(&record));
            thread::spawn(move || call_steadily(to, &calls, Duration::from_millis(100), &stop, &record))
        })
        .collect();
    // From here on the nodes are in touch: nothing has happened for longer than `stable_window_ms`.
    sleep(STABLE_WINDOW + STABLE_WINDOW);
    if has_trouble {
        let mut has_run = false;
        for _ in 0..TRIES {
            has_run = disrupt(&store, &nodes, &links, &record)?;
            if has_run {
                break;
            }
            sleep(STABLE_WINDOW + STABLE_WINDOW);
        }
        if !has_run {
            return None;
        }
    } else {
        wait_for_holder(&store, &record)?;
        sleep(CUT);
    }
    let judged_from = Instant::now() + STABLE_WINDOW;
    sleep(STABLE_WINDOW + JUDGED);
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let broken = judge(&store.duties.lock().unwrap(), judged_from, &record);
    println!("calls with a lower token than the platform had seen, later than the stable window: {broken}");
    drop(nodes);
    let _ = fs::remove_dir_all(&temp);
    Some(broken > 0)
}

/// Cuts the holder off from the store until another one has acted, and lets the store come back from a copy. Returns
/// whether another holder acted in time.
fn disrupt(store: &Store, nodes: &[Node], links: &[Link], record: &Record) -> Option<bool> {
    let holder = wait_for_holder(store, record)?;
    let cut = nodes.iter().position(|node| node.name == holder.holder)?;
    let copy = wait_for_moment(store)?;
    let heals_at = Instant::now() + CUT;
    record.line(&format!("{} cut off from the store", holder.holder));
    links[cut].set_cut(true);
    let successor = wait_for_successor(store, &holder, heals_at - AWAY);
    match &successor {
        Some(successor) => {
            record.line(&format!("{} acted with token {}", successor.holder, successor.token));
            store.restore(&copy, AWAY);
            record.line("store came back from the copy");
        }
        None => record.line("no other holder acted in time"),
    }
    sleep(heals_at.saturating_duration_since(Instant::now()));
    links[cut].set_cut(false);
    record.line(&format!("{} reaches the store again", holder.holder));
    Some(successor.is_some())
}

/// Waits for the moment of the cut and returns a copy of the store from `COPY_BEFORE_CUT` earlier.
fn wait_for_moment(store: &Store) -> Option<Copy> {
    let until = Instant::now() + Duration::from_secs(20);
    let mut copies = VecDeque::new();
    let (mut version, mut renewed) = (store.version("lease"), None);
    while Instant::now() < until {
        let now = Instant::now();
        if copies.back().is_none_or(|(at, _)| now.duration_since(*at) >= Duration::from_millis(100)) {
            copies.push_back((now, store.copy()));
        }
        while copies.get(1).is_some_and(|(at, _)| now.duration_since(*at) >= COPY_BEFORE_CUT) {
            copies.pop_front();
        }
        let present = store.version("lease");
        if present != version {
            (version, renewed) = (present, Some(now));
        }
        let left = WINDOW_MS - unix_ms() % WINDOW_MS;
        let is_due = renewed.is_some_and(|at| CUT_AFTER_RENEWAL.contains(&now.duration_since(at).as_millis()));
        let has_copy = copies.front().is_some_and(|(at, _)| now.duration_since(*at) >= COPY_BEFORE_CUT);
        if is_due && has_copy && CUT_BEFORE_WINDOW_END.contains(&left) {
            return copies.pop_front().map(|(_, copy)| copy);
        }
        sleep(Duration::from_millis(2));
    }
    None
}

/// Waits until a node has reported two windows.
fn wait_for_holder(store: &Store, record: &Record) -> Option<DutyCall> {
    for _ in 0..300 {
        let duties = store.duties.lock().unwrap();
        if duties.len() >= 2 {
            let last = duties.last().cloned();
            record.line(&format!("holder {:?}", last.as_ref().map(|call| (&call.holder, call.token))));
            return last;
        }
        drop(duties);
        sleep(Duration::from_millis(100));
    }
    None
}

fn wait_for_successor(store: &Store, holder: &DutyCall, until: Instant) -> Option<DutyCall> {
    while Instant::now() < until {
        let last = store.duties.lock().unwrap().last().cloned()?;
        if last.holder != holder.holder {
            return Some(last);
        }
        sleep(Duration::from_millis(10));
    }
    None
}

fn judge(duties: &[DutyCall], judged_from: Instant, record: &Record) -> usize {
    // The windows of usage are one subject.
    let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut broken = 0;
    for call in duties {
        let seen = highest.entry(&call.path).or_default();
        let is_broken = call.token < *seen && call.at >= judged_from;
        broken += usize::from(is_broken);
        let after_ms = call.at.checked_duration_since(judged_from).map(|time| time.as_millis());
        record.line(&format!(
            "platform got {} from {} with token {} (highest seen {seen}), judged at {after_ms:?} ms: {}",
            call.path, call.holder, call.token, call.body
        ));
        *seen = call.token.max(*seen);
    }
    broken
}
