//! A stand-in for the users' servers.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Head;
use crate::record::Record;
use crate::store::Store;

/// Requests that wait at a server beyond those that it works on.
const QUEUE: usize = 16;
/// Interval at which a server looks whether the connection of a request was closed.
const CLOSE_CHECK: Duration = Duration::from_millis(10);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// How a server is listed, and how long it works.
#[derive(Clone, Debug)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub work: Duration,
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
    /// Whether the server began to work on it.
    pub has_run: bool,
    /// When the server had handed over the last byte of its answer.
    pub answered: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    arrivals: Vec<Arrival>,
    /// Requests that wait or are worked on.
    present: usize,
    working: usize,
}

#[derive(Clone, Debug)]
pub struct Server {
    pub plan: Plan,
    pub address: SocketAddr,
    born: u64,
    state: Arc<Mutex<State>>,
    freed: Arc<Condvar>,
    is_leaving: Arc<AtomicBool>,
    record: Record,
}

impl Server {
    pub fn start(plan: Plan, address: SocketAddr, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let server = Self {
            plan,
            address,
            born: since.unwrap_or_default().as_millis() as u64,
            state: Arc::default(),
            freed: Arc::default(),
            is_leaving: Arc::default(),
            record: record.clone(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(server)
    }

    /// Writes the server's entry into the store.
    pub fn report(&self, store: &Store, state: &str) {
        let Plan { id, service, zone, slots, .. } = &self.plan;
        let entry = format!(
            r#"{{"address":"{}","born":{},"information":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"{state}","sequence":1,"warmupRemainingMs":0}}}}"#,
            self.address, self.born
        );
        self.is_leaving.store(state == "draining", Ordering::Relaxed);
        store.put("servers", id, &entry);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().unwrap().arrivals.clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
        while matches!(self.serve_one(&mut stream), Ok(true)) {}
    }

    /// Serves a request; returns whether the connection stays open.
    fn serve_one(&self, stream: &mut TcpStream) -> io::Result<bool> {
        let Some(head) = Head::read(stream)? else { return Ok(false) };
        let own = self.plan.id.as_str();
        if head.word(1) == "/health" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Chicoryloom-Instance-Id: {own}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(text.as_bytes())?;
            return Ok(true);
        }
        let Some(id) = head.get("x-chicoryloom-attempt-id").map(str::to_owned) else {
            reject(stream, 400, "")?;
            return Ok(false);
        };
        if head.get("x-chicoryloom-expected-instance").is_some_and(|expected| expected != own) {
            reject(stream, 421, &id)?;
            return Ok(false);
        }
        self.record.add(format!("{own}: {id} arrives, {} {}", head.word(0), head.word(1)));
        let index = {
            let mut state = self.state.lock().unwrap();
            let at = Instant::now();
            state.arrivals.push(Arrival { id: id.clone(), at, has_run: false, answered: None });
            state.arrivals.len() - 1
        };
        let body = head.read_body(stream)?;
        if !self.enter() {
            self.record.add(format!("{own}: {id} is rejected as not run"));
            reject(stream, 503, &id)?;
            return Ok(true);
        }
        self.state.lock().unwrap().arrivals[index].has_run = true;
        self.record.add(format!("{own}: {id} begins to run, body of {} bytes", body.len()));
        let is_whole = work(stream, self.plan.work);
        self.leave();
        if !is_whole {
            self.record.add(format!("{own}: {id} is dropped, as its connection was closed"));
            return Ok(false);
        }
        let leaving =
            if self.is_leaving.load(Ordering::Relaxed) { "Server-Leaving: 1\r\n" } else { "" };
        // The last part of the path tells the length of the answer, if it is a number.
        let length = head.word(1).rsplit('/').next().and_then(|part| part.parse().ok());
        let body =
            length.map_or_else(|| format!("for {id}").into_bytes(), |length| vec![b'x'; length]);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Chicoryloom-Attempt-Id: {id}\r\n\
             X-Chicoryloom-Response-Seal: seal-{id}\r\n{leaving}Content-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(&body)?;
        self.state.lock().unwrap().arrivals[index].answered = Some(Instant::now());
        self.record.add(format!("{own}: {id} is answered whole, {} bytes", body.len()));
        Ok(true)
    }

    /// Waits for a slot; returns false if too many requests wait.
    fn enter(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.present >= self.plan.slots + QUEUE {
            return false;
        }
        state.present += 1;
        while state.working >= self.plan.slots {
            state = self.freed.wait(state).unwrap();
        }
        state.working += 1;
        true
    }

    fn leave(&self) {
        let mut state = self.state.lock().unwrap();
        state.present -= 1;
        state.working -= 1;
        drop(state);
        self.freed.notify_one();
    }
}

fn reject(stream: &mut TcpStream, status: u16, id: &str) -> io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 {status} Rejected\r\nX-Chicoryloom-Attempt-Id: {id}\r\n\
         X-Chicoryloom-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Works for a time; returns false as soon as the connection is closed.
fn work(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    let is_closed = || {
        let _ = stream.set_nonblocking(true);
        let peeked = stream.peek(&mut [0]);
        let _ = stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    };
    while Instant::now() < end {
        if is_closed() {
            return false;
        }
        thread::sleep(CLOSE_CHECK.min(end.saturating_duration_since(Instant::now())));
    }
    true
}
