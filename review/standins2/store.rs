//! A stand-in of the platform's store: objects, lists, watches and conditional writes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, answer, read_message};

type Key = (String, String);

#[derive(Default)]
struct Contents {
    revision: u64,
    // Revision of the last change and the text of `spec`.
    objects: BTreeMap<Key, (u64, String)>,
    // Revision, key, text of `spec`, and whether the object was deleted.
    changes: Vec<(u64, Key, String, bool)>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    contents: Arc<(Mutex<Contents>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let contents: Arc<(Mutex<Contents>, Condvar)> = Arc::default();
        contents.0.lock().expect("a lock").revision = 100;
        let store = Self { address, contents };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut contents = self.contents.0.lock().expect("a lock");
        contents.revision += 1;
        let (revision, key) = (contents.revision, (kind.to_owned(), name.to_owned()));
        contents.objects.insert(key.clone(), (revision, spec.to_owned()));
        contents.changes.push((revision, key, spec.to_owned(), false));
        self.contents.1.notify_all();
        revision
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut contents = self.contents.0.lock().expect("a lock");
        let key = (kind.to_owned(), name.to_owned());
        if let Some((_, spec)) = contents.objects.remove(&key) {
            contents.revision += 1;
            let revision = contents.revision;
            contents.changes.push((revision, key, spec, true));
            self.contents.1.notify_all();
        }
    }


    fn serve(&self, mut stream: TcpStream) {
        let mut pending = Vec::new();
        let _ = stream.set_nodelay(true);
        while let Some(call) = read_message(&mut stream, &mut pending) {
            let (status, body) = self.execute(&call);
            let json = "Content-Type: application/json\r\n";
            if !answer(&mut stream, status, json, &body) {
                return;
            }
        }
    }

    fn execute(&self, call: &Message) -> (u16, String) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let mut parts = path.trim_start_matches("/-/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or("");
        let name = parts.next();
        let parameter = |wanted: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == wanted).map(|(_, value)| value.to_owned())
        };
        match (call.method(), name, parameter("watch")) {
            ("GET", Some(name), _) => match self.find(kind, name) {
                Some(object) => (200, object),
                None => (404, "{}".to_owned()),
            },
            ("GET", None, Some(since)) => {
                let wait = parameter("waitMs").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                self.watch(kind, since.parse().unwrap_or(0), Duration::from_millis(wait))
            }
            ("GET", None, None) => self.list(kind),
            ("POST" | "PUT", _, _) => self.write(kind, &String::from_utf8_lossy(&call.body), call.method() == "POST"),
            ("DELETE", Some(name), _) => {
                self.delete(kind, name);
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn find(&self, kind: &str, name: &str) -> Option<String> {
        let contents = self.contents.0.lock().expect("a lock");
        let found = contents.objects.get(&(kind.to_owned(), name.to_owned()));
        found.map(|(revision, spec)| object(name, *revision, spec))
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let contents = self.contents.0.lock().expect("a lock");
        let of_kind = contents.objects.iter().filter(|((found, _), _)| found == kind);
        let items: Vec<String> = of_kind.map(|((_, name), (revision, spec))| object(name, *revision, spec)).collect();
        let body = format!("{{\"items\":[{}],\"more\":false,\"asOf\":{}}}", items.join(","), contents.revision);
        (200, body)
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut contents = self.contents.0.lock().expect("a lock");
        loop {
            let new = contents.changes.iter().filter(|(revision, key, ..)| *revision > since && key.0 == kind);
            let events: Vec<String> = new
                .map(|(revision, key, spec, deleted)| format!("{{\"object\":{},\"deleted\":{deleted}}}", object(&key.1, *revision, spec)))
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                return (200, format!("{{\"events\":[{}],\"asOf\":{}}}", events.join(","), contents.revision));
            }
            contents = self.contents.1.wait_timeout(contents, until - now).expect("a lock").0;
        }
    }

    // The callers write `{"metadata":{"name":"N","revision":R},"spec":S}`, without other fields.
    fn write(&self, kind: &str, body: &str, is_new: bool) -> (u16, String) {
        let Some((metadata, spec)) = body.split_once("\"spec\":") else {
            return (400, "{}".to_owned());
        };
        let spec = &spec[..spec.len() - 1];
        let field = |name: &str| metadata.split_once(name).map(|(_, rest)| rest);
        let Some(name) = field("\"name\":\"").and_then(|rest| rest.split('"').next()) else {
            return (400, "{}".to_owned());
        };
        let digits = |rest: &str| rest.chars().take_while(char::is_ascii_digit).collect::<String>();
        let expected: Option<u64> = field("\"revision\":").and_then(|rest| digits(rest).parse().ok());
        let known = {
            let contents = self.contents.0.lock().expect("a lock");
            contents.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
        };
        match known {
            Some((revision, old)) if is_new || expected.is_some_and(|wanted| wanted != revision) => (409, object(name, revision, &old)),
            Some((revision, old)) if old == spec => (200, object(name, revision, &old)),
            None if !is_new => (404, "{}".to_owned()),
            _ => {
                let revision = self.put(kind, name, spec);
                (200, object(name, revision, spec))
            }
        }
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!("{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}")
}
