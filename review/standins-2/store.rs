//! The platform: its row store, with a link of its own for each node, and its calls for duties.

use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, read_message, respond},
    json::{Json, decode_base64, encode_base64},
    record::Record,
};

#[derive(Debug, Clone)]
struct Row {
    /// Value in base64, or `None` once the row is removed.
    value: Option<String>,
    ver: u64,
}

/// `DutyCall` is an accepted call for a duty.
#[derive(Debug, Clone)]
pub struct DutyCall {
    pub at: Instant,
    pub path: String,
    pub holder: String,
    pub fence: u64,
    pub body: String,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    ver: u64,
    calls: Vec<DutyCall>,
}

/// `Platform` is the store with the calls for duties.
#[derive(Clone)]
pub struct Platform {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

/// `Link` is the path of one node to the store.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    /// Cuts the path without a sign, or lets new connections pass again. Connections that were open while it
    /// was cut stay silent.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
    }
}

impl Platform {
    pub fn new(record: Record) -> Self {
        Self {
            state: Arc::default(),
            record,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row, as the operator or a replica does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.lock();
        state.ver += 1;
        let row = Row {
            value: Some(encode_base64(value.as_bytes())),
            ver: state.ver,
        };
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        self.state.1.notify_all();
    }

    /// Returns the value of the first row of a table and its version.
    pub fn first(&self, table: &str) -> Option<(Json, u64)> {
        let state = self.lock();
        let row = state.rows.iter().find(|((name, _), _)| name == table)?.1;
        let value = decode_base64(row.value.as_ref()?);
        Some((Json::parse(&String::from_utf8(value).ok()?)?, row.ver))
    }

    /// Returns the accepted calls for duties.
    pub fn calls(&self) -> Vec<DutyCall> {
        self.lock().calls.clone()
    }

    /// Opens a path to the platform.
    pub fn open_link(&self) -> io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let link = Link {
            address: listener.local_addr()?,
            is_cut: Arc::default(),
        };
        let (platform, path) = (self.clone(), link.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (platform, path) = (platform.clone(), path.clone());
                thread::spawn(move || platform.serve(stream, &path));
            }
        });
        Ok(link)
    }

    fn serve(&self, mut stream: TcpStream, link: &Link) -> Option<()> {
        let mut is_dead = link.is_cut();
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        while let Ok(Some(req)) = read_message(&mut reader) {
            is_dead |= link.is_cut();
            if is_dead {
                continue;
            }
            let (status, body) = self.handle(&req);
            is_dead |= link.is_cut();
            if !is_dead {
                let json = "Content-Type: application/json\r\n";
                respond(&mut stream, status, json, &body).ok()?;
            }
        }
        None
    }

    fn handle(&self, req: &Message) -> (u16, String) {
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, unescape(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str, default: u64| text(name).parse().unwrap_or(default);
        match path {
            "/rows-get" => self.page(&text("table"), &text("from"), number("limit", 500) as usize),
            "/rows-feed" => {
                let wait = Duration::from_millis(number("wait_ms", 0));
                self.feed(&text("table"), number("since_rev", 0), wait)
            }
            "/rows-tx" => self.transact(&Json::parse(&req.text()).unwrap_or(Json::Null)),
            "/usage" | "/scaling" => {
                let call = DutyCall {
                    at: Instant::now(),
                    path: path.to_owned(),
                    holder: req.header("duty-holder").to_owned(),
                    fence: req.header("fencing-token").parse().unwrap_or(0),
                    body: req.text(),
                };
                self.record.line(&format!(
                    "platform: {} from {} with fence {}: {}",
                    call.path, call.holder, call.fence, call.body
                ));
                self.lock().calls.push(call);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn page(&self, table: &str, from: &str, limit: usize) -> (u16, String) {
        let state = self.lock();
        let rows: Vec<_> = state
            .rows
            .iter()
            .filter(|((name, key), row)| {
                name == table && key.as_str() >= from && row.value.is_some()
            })
            .collect();
        let shown = rows.iter().take(limit).map(|(key, row)| row_json(key, row));
        let shown = shown.collect::<Vec<_>>().join(",");
        let more = rows.len() > limit;
        let ver = state.ver;
        let body = format!(r#"{{"rows":[{shown}],"more_pages":{more},"ver":{ver},"now_ms":1}}"#);
        (200, body)
    }

    fn feed(&self, table: &str, since: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if since > state.ver {
                return (410, "{}".to_owned());
            }
            let mut rows: Vec<_> = state
                .rows
                .iter()
                .filter(|((name, _), row)| name == table && row.ver > since)
                .collect();
            rows.sort_by_key(|(_, row)| row.ver);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let shown = rows.iter().map(|(key, row)| row_json(key, row));
                let shown = shown.collect::<Vec<_>>().join(",");
                let ver = state.ver;
                return (
                    200,
                    format!(r#"{{"rows":[{shown}],"ver":{ver},"now_ms":1}}"#),
                );
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, tx: &Json) -> (u16, String) {
        let mut state = self.lock();
        let name = |entry: &Json| {
            let (table, key) = (entry.get("table").text(), entry.get("key").text());
            (table.to_owned(), key.to_owned())
        };
        let mut actual = Vec::new();
        let mut holds = true;
        for entry in tx.get("expected_rev").list() {
            let key = name(entry);
            let row = state.rows.get(&key).filter(|row| row.value.is_some());
            holds &= row.map_or(0, |row| row.ver) == entry.get("ver").number();
            actual.extend(row.map(|row| row_json(&key, row)));
        }
        if !holds {
            let rows = actual.join(",");
            return (412, format!(r#"{{"rows":[{rows}],"now_ms":1}}"#));
        }
        state.ver += 1;
        let ver = state.ver;
        for entry in tx.get("set_keys").list() {
            let value = Some(entry.get("value").text().to_owned());
            state.rows.insert(name(entry), Row { value, ver });
        }
        for entry in tx.get("remove").list() {
            state.rows.insert(name(entry), Row { value: None, ver });
        }
        self.state.1.notify_all();
        (200, format!(r#"{{"ver":{ver},"now_ms":1}}"#))
    }
}

fn row_json((table, key): &(String, String), row: &Row) -> String {
    let rest = match &row.value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""deleted":true"#.to_owned(),
    };
    let ver = row.ver;
    format!(r#"{{"table":{table:?},"part":"","key":{key:?},"ver":{ver},{rest}}}"#)
}

/// Decodes percent-encoded text.
fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let hex: String = bytes.by_ref().take(2).map(char::from).collect();
        out.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&out).into_owned()
}
