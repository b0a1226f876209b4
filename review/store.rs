//! The platform's store: objects, conditional writes, watches, outages, and drills in which it
//! comes back from an older copy under a new era.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message, Reply};
use crate::json::Json;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Sound,
    /// Every call gets 503: nothing was done.
    Busy,
    /// Every connection is closed without an answer.
    Reset,
    /// No call is answered.
    Silent,
}

type Key = (String, String);

#[derive(Clone)]
struct Change {
    at: Instant,
    revision: u64,
    key: Key,
    spec: Option<Json>,
}

struct State {
    era: u64,
    revision: u64,
    mode: Mode,
    objects: BTreeMap<Key, (u64, Json)>,
    log: Vec<Change>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State {
            era: 1,
            revision: 100,
            mode: Mode::Sound,
            objects: BTreeMap::new(),
            log: Vec::new(),
        };
        let store = Store {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let server = store.clone();
        http::serve(listener, Arc::new(move |request| server.reply(request)));
        store
    }

    /// Serves the same store at another address, where each first text of `replaced` in an answer
    /// is replaced by the second: the machine that is given this address reaches others by a proxy.
    pub fn door(&self, replaced: Vec<(String, String)>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let server = self.clone();
        let handler = move |request: &Message| match server.reply(request) {
            Reply::Answer(status, headers, body) => {
                let mut text = String::from_utf8_lossy(&body).into_owned();
                for (from, to) in &replaced {
                    text = text.replace(&format!("\"{from}\""), &format!("\"{to}\""));
                }
                Reply::Answer(status, headers, text.into_bytes())
            }
            other => other,
        };
        http::serve(listener, Arc::new(handler));
        address
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.0.lock().unwrap().mode = mode;
        self.state.1.notify_all();
    }

    /// Writes an object as the operator and the servers do; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &Json) -> u64 {
        self.change((kind.to_owned(), name.to_owned()), Some(spec.clone()))
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.change((kind.to_owned(), name.to_owned()), None);
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<Json> {
        let state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        state.objects.get(&key).map(|(_, spec)| spec.clone())
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        let keys = state.objects.keys().filter(|key| key.0 == kind);
        keys.map(|key| key.1.clone()).collect()
    }

    /// Returns when an object was last changed, and each state that it had, oldest first.
    pub fn history(&self, kind: &str, name: &str) -> Vec<(Instant, Option<Json>)> {
        let state = self.state.0.lock().unwrap();
        let changes = state.log.iter();
        let changes = changes.filter(|c| c.key.0 == kind && c.key.1 == name);
        changes.map(|c| (c.at, c.spec.clone())).collect()
    }

    /// Comes back from the copy of the contents as they were at `moment`: what was written since
    /// is gone, revisions are given out again, and the era rises by one.
    pub fn restore(&self, moment: Instant) {
        let mut state = self.state.0.lock().unwrap();
        state.log.retain(|change| change.at <= moment);
        state.revision = state.log.last().map_or(100, |change| change.revision);
        state.objects.clear();
        for change in state.log.clone() {
            match change.spec {
                Some(spec) => state.objects.insert(change.key, (change.revision, spec)),
                None => state.objects.remove(&change.key),
            };
        }
        state.era += 1;
        drop(state);
        self.state.1.notify_all();
    }

    fn change(&self, key: Key, spec: Option<Json>) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        let revision = apply(&mut state, key, spec);
        drop(state);
        self.state.1.notify_all();
        revision
    }

    fn reply(&self, request: &Message) -> Reply {
        let mode = self.state.0.lock().unwrap().mode;
        if let Some(refusal) = refuse(mode) {
            return refusal;
        }
        let (status, body) = self.answer(request);
        // A call that was waiting when the store failed gets no answer.
        let state = self.state.0.lock().unwrap();
        if state.mode != Mode::Sound {
            return refuse(state.mode).unwrap_or(Reply::Close);
        }
        let headers = vec![
            ("Content-Type".to_owned(), "application/json".to_owned()),
            ("Store-Era".to_owned(), state.era.to_string()),
        ];
        Reply::Answer(status, headers, body.to_string().into_bytes())
    }

    fn answer(&self, request: &Message) -> (u16, Json) {
        let path = request.path();
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let Some(rest) = path.strip_prefix("/-/objects/") else {
            return (400, Json::of("{}"));
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind.to_owned(), Some(name.to_owned())),
            None => (rest.to_owned(), None),
        };
        match (request.method(), name) {
            ("GET", None) => match number(query, "watch") {
                Some(since) => self.watch(&kind, since, number(query, "waitMs").unwrap_or(0)),
                None => self.list(&kind),
            },
            ("GET", Some(name)) => self.read((kind, name)),
            ("POST", None) => self.write(kind, None, request),
            ("PUT", Some(name)) => self.write(kind, Some(name), request),
            ("DELETE", Some(name)) => self.remove((kind, name), number(query, "revision")),
            _ => (400, Json::of("{}")),
        }
    }

    fn list(&self, kind: &str) -> (u16, Json) {
        let state = self.state.0.lock().unwrap();
        let found = state.objects.iter().filter(|(key, _)| key.0 == kind);
        let items = found.map(|(key, (revision, spec))| object(&key.1, *revision, Some(spec)));
        let mut page = Json::of(r#"{"items":[],"more":false}"#);
        page.set("items", Json::List(items.collect()));
        page.set("asOf", Json::Number(state.revision.to_string()));
        (200, page)
    }

    fn read(&self, key: Key) -> (u16, Json) {
        let state = self.state.0.lock().unwrap();
        match state.objects.get(&key) {
            Some((revision, spec)) => (200, object(&key.1, *revision, Some(spec))),
            None => (404, Json::of("{}")),
        }
    }

    fn write(&self, kind: String, name: Option<String>, request: &Message) -> (u16, Json) {
        let Some(body) = Json::parse(&request.body_text()) else {
            return (400, Json::of("{}"));
        };
        let metadata = body.get("metadata").cloned().unwrap_or(Json::Null);
        let is_new = name.is_none();
        let named = metadata
            .get("name")
            .and_then(Json::text)
            .unwrap_or("")
            .to_owned();
        let key = (kind, name.unwrap_or(named));
        let expected = metadata.get("revision").and_then(Json::number);
        let spec = body.get("spec").cloned().unwrap_or(Json::Null);
        // Conditions are checked and applied under one lock.
        let mut state = self.state.0.lock().unwrap();
        let found = state.objects.get(&key).cloned();
        match found {
            Some((revision, old)) if is_new || expected.is_some_and(|e| e != revision) => {
                return (409, object(&key.1, revision, Some(&old)));
            }
            None if !is_new => return (404, Json::of("{}")),
            _ => {}
        }
        let revision = apply(&mut state, key.clone(), Some(spec.clone()));
        drop(state);
        self.state.1.notify_all();
        (200, object(&key.1, revision, Some(&spec)))
    }

    fn remove(&self, key: Key, expected: Option<u64>) -> (u16, Json) {
        let mut state = self.state.0.lock().unwrap();
        let found = state.objects.get(&key).cloned();
        match found {
            None => (404, Json::of("{}")),
            Some((revision, spec)) if expected.is_some_and(|e| e != revision) => {
                (409, object(&key.1, revision, Some(&spec)))
            }
            Some(_) => {
                apply(&mut state, key, None);
                drop(state);
                self.state.1.notify_all();
                (200, Json::of("{}"))
            }
        }
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (u16, Json) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().unwrap();
        let era = state.era;
        loop {
            if since > state.revision || state.era != era {
                return (410, Json::of("{}"));
            }
            let changes = state.log.iter();
            let changes = changes.filter(|c| c.revision > since && c.key.0 == kind);
            let events: Vec<Json> = changes
                .map(|c| {
                    let mut event = Json::of("{}");
                    event.set("object", object(&c.key.1, c.revision, c.spec.as_ref()));
                    event.set("deleted", Json::Bool(c.spec.is_none()));
                    event
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || state.mode != Mode::Sound {
                let mut page = Json::of("{}");
                page.set("events", Json::List(events));
                page.set("asOf", Json::Number(state.revision.to_string()));
                return (200, page);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

// A write that changes nothing does not raise the revision.
fn apply(state: &mut State, key: Key, spec: Option<Json>) -> u64 {
    if let (Some((revision, old)), Some(new)) = (state.objects.get(&key), &spec)
        && old == new
    {
        return *revision;
    }
    state.revision += 1;
    let revision = state.revision;
    match &spec {
        Some(spec) => state.objects.insert(key.clone(), (revision, spec.clone())),
        None => state.objects.remove(&key),
    };
    state.log.push(Change {
        at: Instant::now(),
        revision,
        key,
        spec,
    });
    revision
}

fn refuse(mode: Mode) -> Option<Reply> {
    match mode {
        Mode::Sound => None,
        Mode::Busy => Some(Reply::Answer(503, Vec::new(), b"{}".to_vec())),
        Mode::Reset => Some(Reply::Close),
        Mode::Silent => Some(Reply::Silence),
    }
}

fn object(name: &str, revision: u64, spec: Option<&Json>) -> Json {
    let mut metadata = Json::of(r#"{"finalizers":[],"deleting":false}"#);
    metadata.set("name", Json::Text(name.to_owned()));
    metadata.set("revision", Json::Number(revision.to_string()));
    let mut object = Json::of("{}");
    object.set("metadata", metadata);
    object.set("spec", spec.cloned().unwrap_or(Json::Null));
    object.set("status", Json::Null);
    object
}

fn number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(found, _)| *found == name)
        .and_then(|(_, value)| value.parse().ok())
}
