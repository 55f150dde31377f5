//! Stand-in for the platform: its store of rows with one version counter, and the calls of the duties.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::{Json, base64},
};

type Name = (String, String, String);

/// `Copy` is what a copy of the store holds.
#[derive(Debug, Clone, Default)]
pub struct Copy {
    rows: BTreeMap<Name, (String, u64)>,
    changes: Vec<(Name, u64)>,
    ver: u64,
}

/// `Usage` is a usage report that the platform accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct Usage {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
    pub window: u64,
    pub counts: Json,
}

#[derive(Debug, Default)]
struct State {
    rows: Copy,
    /// Number of times that the store came back from a copy.
    era: u64,
    is_away: bool,
    usage: Vec<Usage>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// `Platform` is a running stand-in. Clones share it.
#[derive(Debug, Clone)]
pub struct Platform {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Platform {
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let served = Arc::clone(&shared);
        let address = http::serve(move |request| served.handle(request))?;
        Ok(Self { address, shared })
    }

    /// Writes a row, as the operator or a replica does.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let name = (table.to_owned(), String::new(), key.to_owned());
        let value = base64(value.to_string().as_bytes());
        self.shared.lock().rows.commit(vec![(name, value)], &[]);
        self.shared.changed.notify_all();
    }

    pub fn copy(&self) -> Copy {
        self.shared.lock().rows.clone()
    }

    /// Sets whether the store is away: it closes connections without a response, and calls have no effect.
    pub fn set_away(&self, is_away: bool) {
        self.shared.lock().is_away = is_away;
        self.shared.changed.notify_all();
    }

    pub fn is_away(&self) -> bool {
        self.shared.lock().is_away
    }

    /// Restores the store from a copy.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.shared.lock();
        state.rows = copy;
        state.era += 1;
        drop(state);
        self.shared.changed.notify_all();
    }

    pub fn usage(&self) -> Vec<Usage> {
        self.shared.lock().usage.clone()
    }
}

impl Copy {
    fn commit(&mut self, puts: Vec<(Name, String)>, removed: &[Name]) {
        self.ver += 1;
        for (name, value) in puts {
            self.changes.push((name.clone(), self.ver));
            self.rows.insert(name, (value, self.ver));
        }
        for name in removed {
            self.changes.push((name.clone(), self.ver));
            self.rows.remove(name);
        }
    }

    fn row(&self, name: &Name) -> Option<Json> {
        let (value, ver) = self.rows.get(name)?;
        Some(Json::object([
            ("table", Json::text(&name.0)),
            ("part", Json::text(&name.1)),
            ("key", Json::text(&name.2)),
            ("value", Json::text(value)),
            ("ver", Json::version(*ver)),
        ]))
    }

    fn change(&self, name: &Name, ver: u64) -> Json {
        self.row(name).unwrap_or_else(|| {
            Json::object([
                ("table", Json::text(&name.0)),
                ("part", Json::text(&name.1)),
                ("key", Json::text(&name.2)),
                ("ver", Json::version(ver)),
                ("deleted", Json::Bool(true)),
            ])
        })
    }
}

fn name(row: &Json) -> Name {
    let text = |field| row.get(field).str().to_owned();
    (text("table"), text("part"), text("key"))
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, request: &Message) -> Option<Vec<u8>> {
        let (_, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode(value)))
            .collect();
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        if path == "/usage" || path == "/scaling" {
            return Some(self.duty(path, request, &body));
        }
        if self.lock().is_away {
            return None;
        }
        let (status, answer) = match path {
            "/rows-tx" => self.write(&body),
            "/rows-get" => self.page(&query),
            "/rows-feed" => self.feed(&query)?,
            _ => (404, Json::Null),
        };
        let state = self.lock();
        if state.is_away {
            return None;
        }
        let era = state.era.to_string();
        drop(state);
        let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
        Some(http::response(status, &headers, answer.to_string().as_bytes()))
    }

    fn duty(&self, path: &str, request: &Message, body: &Json) -> Vec<u8> {
        if path == "/usage" {
            let usage = Usage {
                at: Instant::now(),
                holder: request.header("duty-holder").to_owned(),
                fence: request.header("fencing-token").parse().unwrap_or(0),
                window: body.get("window_id").integer(),
                counts: body.get("counts").clone(),
            };
            self.lock().usage.push(usage);
        }
        http::response(200, &[("Content-Type", "application/json")], b"{}")
    }

    fn write(&self, body: &Json) -> (u16, Json) {
        let mut state = self.lock();
        let rows = &mut state.rows;
        let expected = body.get("expected_rev").list();
        let holds = expected.iter().all(|row| {
            let ver = rows.rows.get(&name(row)).map_or(0, |(_, ver)| *ver);
            ver == row.get("ver").integer()
        });
        if !holds {
            let present = expected.iter().filter_map(|row| rows.row(&name(row)));
            let present = Json::List(present.collect());
            return (412, Json::object([("rows", present), ("now_ms", Json::number(1))]));
        }
        let put = |row: &Json| (name(row), row.get("value").str().to_owned());
        let puts = body.get("set_keys").list().iter().map(put).collect();
        let removed: Vec<Name> = body.get("remove").list().iter().map(name).collect();
        rows.commit(puts, &removed);
        let ver = rows.ver;
        drop(state);
        self.changed.notify_all();
        (200, Json::object([("ver", Json::version(ver)), ("now_ms", Json::number(1))]))
    }

    fn page(&self, query: &BTreeMap<&str, String>) -> (u16, Json) {
        let state = self.lock();
        let text = |name| query.get(name).map_or("", String::as_str);
        let limit = text("limit").parse().unwrap_or(500);
        let names = state.rows.rows.keys();
        let mut names = names.filter(|name| {
            name.0 == text("table") && name.1 == text("part") && name.2.as_str() >= text("from")
        });
        let rows: Vec<Json> = names
            .by_ref()
            .take(limit)
            .filter_map(|name| state.rows.row(name))
            .collect();
        let has_more = names.next().is_some();
        let answer = Json::object([
            ("rows", Json::List(rows)),
            ("more_pages", Json::Bool(has_more)),
            ("ver", Json::version(state.rows.ver)),
            ("now_ms", Json::number(1)),
        ]);
        (200, answer)
    }

    fn feed(&self, query: &BTreeMap<&str, String>) -> Option<(u16, Json)> {
        let text = |name| query.get(name).map_or("", String::as_str);
        let since: u64 = text("since_rev").parse().unwrap_or(0);
        let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.is_away {
                return None;
            }
            if state.era != era || since > state.rows.ver {
                return Some((410, Json::Null));
            }
            let rows = &state.rows;
            let changes = rows.changes.iter();
            let later = changes.filter(|(name, ver)| *ver > since && name.0 == text("table"));
            let changed: Vec<Json> = later.map(|(name, ver)| rows.change(name, *ver)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let answer = Json::object([
                    ("rows", Json::List(changed)),
                    ("ver", Json::version(rows.ver)),
                    ("now_ms", Json::number(1)),
                ]);
                return Some((200, answer));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// Decodes a value of a query.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
