//! A worker on loopback that misbehaves as told, and records what it read.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// What the worker does with its connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    KeepOpen,
    Close,
    CloseAfter(Duration),
}

/// What the worker writes for a request.
#[derive(Clone, Debug)]
pub struct Reply {
    pub text: String,
    pub then: Then,
}

/// A request as the worker read it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub head: String,
    pub body: String,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (found, value) = line.split_once(": ")?;
            found.eq_ignore_ascii_case(name).then_some(value)
        })
    }

    pub fn task(&self) -> &str {
        self.header("trefoil-task").unwrap_or_default()
    }
}

#[derive(Default)]
struct Record {
    seen: Mutex<Vec<Seen>>,
    open: AtomicUsize,
    open_max: AtomicUsize,
}

/// A running worker; dropping it stops it.
pub struct ScriptWorker {
    pub address: String,
    record: Arc<Record>,
    accepting: JoinHandle<()>,
}

impl Drop for ScriptWorker {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl ScriptWorker {
    /// A worker that answers each request it read whole by `script`.
    pub async fn start<F, R>(script: F) -> Self
    where
        F: Fn(Seen) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Reply> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let record = Arc::new(Record::default());
        let shared = Arc::clone(&record);
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&shared), script.clone()));
            }
        });
        Self {
            address,
            record,
            accepting,
        }
    }

    /// A worker that gives the same answer to all.
    pub async fn fixed(text: &str, then: Then) -> Self {
        let text = text.to_owned();
        Self::start(move |_| {
            let text = text.clone();
            async move { Reply { text, then } }
        })
        .await
    }

    /// A worker that closes connections before it reads.
    pub async fn closing() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let accepting = tokio::spawn(async move { while listener.accept().await.is_ok() {} });
        Self {
            address,
            record: Arc::default(),
            accepting,
        }
    }

    /// Requests read so far, in order.
    pub fn seen(&self) -> Vec<Seen> {
        self.record.seen.lock().unwrap().clone()
    }

    /// How often each task was read.
    pub fn starts(&self) -> HashMap<String, usize> {
        let mut starts = HashMap::new();
        for seen in self.seen() {
            *starts.entry(seen.task().to_owned()).or_default() += 1;
        }
        starts
    }

    /// Most connections open at once.
    pub fn open_max(&self) -> usize {
        self.record.open_max.load(Ordering::SeqCst)
    }
}

async fn serve<F, R>(mut stream: TcpStream, record: Arc<Record>, script: F)
where
    F: Fn(Seen) -> R,
    R: Future<Output = Reply>,
{
    let open = record.open.fetch_add(1, Ordering::SeqCst) + 1;
    record.open_max.fetch_max(open, Ordering::SeqCst);
    while let Some(seen) = read_request(&mut stream).await {
        record.seen.lock().unwrap().push(seen.clone());
        let reply = script(seen).await;
        let written = stream.write_all(reply.text.as_bytes()).await;
        match reply.then {
            Then::KeepOpen if written.is_ok() => continue,
            Then::CloseAfter(wait) => pause(wait).await,
            Then::KeepOpen | Then::Close => {}
        }
        break;
    }
    record.open.fetch_sub(1, Ordering::SeqCst);
}

/// Waits for less than the timer's millisecond.
pub async fn pause(wait: Duration) {
    let start = Instant::now();
    while start.elapsed() < wait {
        tokio::task::yield_now().await;
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<Seen> {
    let mut bytes = Vec::new();
    loop {
        if let Some(seen) = whole_request(&bytes) {
            return Some(seen);
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

fn whole_request(bytes: &[u8]) -> Option<Seen> {
    let text = std::str::from_utf8(bytes).unwrap();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let seen = Seen {
        head: head.to_owned(),
        body: body.to_owned(),
    };
    let length: usize = seen.header("content-length")?.parse().unwrap();
    (body.len() == length).then_some(seen)
}

/// An answer with a body and further headers, each ended by a line break.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}")
}
