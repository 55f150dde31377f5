//! The platform's store and the calls of the duties.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Connection, Message},
    json::{Json, base64, quote, unbase64},
};

/// Time of a transaction.
const TX_TIME: Duration = Duration::from_millis(5);

type Name = (String, String, String);

#[derive(Default, Clone)]
struct State {
    ver: u64,
    /// Number of times that the store came back from a copy.
    era: u64,
    /// Whether calls get no answer and have no effect.
    is_away: bool,
    rows: BTreeMap<Name, (String, u64)>,
    history: Vec<(u64, Name, Option<String>)>,
}

/// The rows of a store at some time.
pub struct Copy(State);

/// A call of a duty, as it arrived.
#[derive(Debug, Clone)]
pub struct DutyCall {
    pub at: Instant,
    pub path: String,
    pub holder: String,
    pub token: u64,
    pub body: String,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub duties: Mutex<Vec<DutyCall>>,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            duties: Mutex::default(),
            started: Instant::now(),
            address: listener.local_addr().expect("an address"),
        });
        let served = Arc::clone(&store);
        http::serve(listener, move |connection| served.serve(connection));
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Writes a row of the operator or of a replica.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.lock();
        state.ver += 1;
        state.set(row_name(table, "", key), base64(value.as_bytes()));
        self.changed.notify_all();
    }

    /// Returns a copy of the store.
    pub fn copy(&self) -> Copy {
        Copy(self.lock().clone())
    }

    /// Takes the store away for some time, after which it comes back from a copy. The operator writes its row again.
    pub fn restore(&self, copy: &Copy, away: Duration) {
        self.lock().is_away = true;
        self.changed.notify_all();
        sleep(away);
        let mut state = self.lock();
        let era = state.era + 1;
        let name = row_name("op", "", "config");
        let config = state.rows.get(&name).map(|(value, _)| value.clone());
        *state = copy.0.clone();
        (state.era, state.is_away) = (era, false);
        // Versions are given out again, and what has changed since the copy is not known.
        state.history.clear();
        if let Some(config) = config {
            state.ver += 1;
            state.set(name, config);
        }
        self.changed.notify_all();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.lock();
        state.ver += 1;
        state.drop_row(row_name(table, "", key));
        self.changed.notify_all();
    }

    /// Returns the text of a row.
    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let state = self.lock();
        let (value, _) = state.rows.get(&row_name(table, "", key))?;
        String::from_utf8(unbase64(value)?).ok()
    }

    /// Returns the version of the only row of a table, or 0.
    pub fn version(&self, table: &str) -> u64 {
        let state = self.lock();
        let found = state.rows.iter().find(|(name, _)| name.0 == table);
        found.map_or(0, |(_, (_, ver))| *ver)
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(req)) = connection.request() {
            let is_duty = ["/usage", "/scaling"].contains(&req.target());
            if !is_duty && self.lock().is_away {
                return;
            }
            let path = req.target().split('?').next().unwrap_or("").to_owned();
            let answer = match (req.method(), path.as_str()) {
                ("POST", "/rows-tx") => self.transact(&req),
                ("GET", "/rows-get") => self.get(&req),
                ("GET", "/rows-feed") => self.feed(&req),
                ("POST", "/usage" | "/scaling") => {
                    self.duties.lock().unwrap().push(DutyCall {
                        at: Instant::now(),
                        path: path.clone(),
                        holder: req.header("duty-holder").unwrap_or("").to_owned(),
                        token: req.header("fencing-token").and_then(|t| t.parse().ok()).unwrap_or(0),
                        body: String::from_utf8_lossy(&req.body).into_owned(),
                    });
                    ("200 OK", "{}".to_owned())
                }
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let (era, is_away) = {
                let state = self.lock();
                (state.era, state.is_away)
            };
            let headers = format!("content-type: application/json\r\nstore-era: {era}\r\n");
            if !is_duty && is_away || connection.respond(answer.0, &headers, answer.1.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn transact(&self, req: &Message) -> (&'static str, String) {
        sleep(TX_TIME);
        let Some(tx) = Json::parse(&String::from_utf8_lossy(&req.body)) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let name = |row: &Json| row_name(row.get("table").text(), row.get("part").text(), row.get("key").text());
        let written = tx.get("set_keys").list().iter().chain(tx.get("remove").list());
        if written.into_iter().any(|row| ["op", "servers"].contains(&row.get("table").text())) {
            return ("403 Forbidden", "{}".to_owned());
        }
        let mut state = self.lock();
        let expected = tx.get("expected_rev").list();
        let holds = |row: &Json| {
            let ver = state.rows.get(&name(row)).map_or(0, |(_, ver)| *ver);
            ver == row.get("ver").number() as u64
        };
        if !expected.iter().all(holds) {
            let rows: Vec<_> = expected
                .iter()
                .filter_map(|row| state.rows.get(&name(row)).map(|(value, ver)| row_json(&name(row), Some(value), *ver)))
                .collect();
            let body = format!("{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}", rows.join(","), state.ver, self.now_ms());
            return ("412 Precondition Failed", body);
        }
        state.ver += 1;
        for row in tx.get("set_keys").list() {
            state.set(name(row), row.get("value").text().to_owned());
        }
        for row in tx.get("remove").list() {
            state.drop_row(name(row));
        }
        self.changed.notify_all();
        ("200 OK", format!("{{\"ver\":{},\"now_ms\":{}}}", state.ver, self.now_ms()))
    }

    fn get(&self, req: &Message) -> (&'static str, String) {
        let params: BTreeMap<_, _> = http::query(req.target()).into_iter().collect();
        let param = |name: &str| params.get(name).cloned().unwrap_or_default();
        let (table, part, from, target) = (param("table"), param("part"), param("from"), param("target"));
        let limit = param("limit").parse().unwrap_or(500).min(500);
        let state = self.lock();
        let fits = |name: &&Name| {
            name.0 == table && name.1 == part && name.2 >= from && (target.is_empty() || name.2 < target)
        };
        let names: Vec<_> = state.rows.keys().filter(fits).take(limit + 1).collect();
        let rows: Vec<_> = names
            .iter()
            .take(limit)
            .map(|name| {
                let (value, ver) = &state.rows[*name];
                row_json(name, Some(value), *ver)
            })
            .collect();
        let body = format!(
            "{{\"rows\":[{}],\"more_pages\":{},\"ver\":{},\"now_ms\":{}}}",
            rows.join(","),
            names.len() > limit,
            state.ver,
            self.now_ms()
        );
        ("200 OK", body)
    }

    fn feed(&self, req: &Message) -> (&'static str, String) {
        let params: BTreeMap<_, _> = http::query(req.target()).into_iter().collect();
        let table = params.get("table").cloned().unwrap_or_default();
        let number = |name: &str| params.get(name).and_then(|n| n.parse().ok()).unwrap_or(0);
        let (since, wait) = (number("since_rev"), Duration::from_millis(number("wait_ms").min(30_000)));
        let until = Instant::now() + wait;
        let mut state = self.lock();
        let era = state.era;
        loop {
            if since > state.ver || state.era != era {
                return ("410 Gone", "{}".to_owned());
            }
            let mut rows = BTreeMap::new();
            for (ver, name, value) in state.history.iter().filter(|(ver, name, _)| *ver > since && name.0 == table) {
                rows.insert(name.clone(), (*ver, value.clone()));
            }
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() || state.is_away {
                let mut rows: Vec<_> = rows.into_iter().collect();
                rows.sort_by_key(|(_, (ver, _))| *ver);
                let rows: Vec<_> = rows
                    .iter()
                    .map(|(name, (ver, value))| row_json(name, value.as_deref(), *ver))
                    .collect();
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                    rows.join(","),
                    state.ver,
                    self.now_ms()
                );
                return ("200 OK", body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn set(&mut self, name: Name, value: String) {
        self.history.push((self.ver, name.clone(), Some(value.clone())));
        self.rows.insert(name, (value, self.ver));
    }

    fn drop_row(&mut self, name: Name) {
        self.history.push((self.ver, name.clone(), None));
        self.rows.remove(&name);
    }
}

fn row_name(table: &str, part: &str, key: &str) -> Name {
    (table.to_owned(), part.to_owned(), key.to_owned())
}

fn row_json(name: &Name, value: Option<&str>, ver: u64) -> String {
    let names = format!(
        "\"table\":{},\"part\":{},\"key\":{}",
        quote(&name.0),
        quote(&name.1),
        quote(&name.2)
    );
    match value {
        Some(value) => format!("{{{names},\"value\":{},\"ver\":{ver}}}", quote(value)),
        None => format!("{{{names},\"ver\":{ver},\"deleted\":true}}"),
    }
}
