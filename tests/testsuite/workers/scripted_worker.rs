//! A worker with scripted responses that records the requests it read.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// What the worker does with its connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterResponse {
    KeepOpen,
    Close,
    CloseAfter(Duration),
}

/// Response to one request.
#[derive(Clone, Debug)]
pub struct ScriptedResponse {
    pub text: String,
    pub after: AfterResponse,
}

/// A request that the worker read.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: String,
}

impl ReceivedRequest {
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
struct Recorder {
    requests: Mutex<Vec<ReceivedRequest>>,
    open: AtomicUsize,
    open_max: AtomicUsize,
}

/// A running worker, stopped on drop.
pub struct ScriptedWorker {
    pub address: String,
    recorder: Arc<Recorder>,
    accepting: JoinHandle<()>,
}

impl Drop for ScriptedWorker {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl ScriptedWorker {
    /// Starts a worker that answers each complete request with `script`.
    pub async fn start<F, R>(script: F) -> Self
    where
        F: Fn(ReceivedRequest) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = ScriptedResponse> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let recorder = Arc::new(Recorder::default());
        let shared = Arc::clone(&recorder);
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&shared), script.clone()));
            }
        });
        Self {
            address,
            recorder,
            accepting,
        }
    }

    /// Starts a worker that answers all requests with the same response.
    pub async fn fixed(text: &str, after: AfterResponse) -> Self {
        let text = text.to_owned();
        Self::start(move |_| {
            let text = text.clone();
            async move { ScriptedResponse { text, after } }
        })
        .await
    }

    /// Starts a worker that closes connections without reading.
    pub async fn closing_connections() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let accepting = tokio::spawn(async move { while listener.accept().await.is_ok() {} });
        Self {
            address,
            recorder: Arc::default(),
            accepting,
        }
    }

    /// Requests read so far, in order.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.recorder.requests.lock().unwrap().clone()
    }

    /// Number of requests read for each task.
    pub fn starts(&self) -> HashMap<String, usize> {
        let mut starts = HashMap::new();
        for request in self.requests() {
            *starts.entry(request.task().to_owned()).or_default() += 1;
        }
        starts
    }

    /// Maximum number of connections open at the same time.
    pub fn open_max(&self) -> usize {
        self.recorder.open_max.load(Ordering::SeqCst)
    }
}

async fn serve<F, R>(mut stream: TcpStream, recorder: Arc<Recorder>, script: F)
where
    F: Fn(ReceivedRequest) -> R,
    R: Future<Output = ScriptedResponse>,
{
    let open = recorder.open.fetch_add(1, Ordering::SeqCst) + 1;
    recorder.open_max.fetch_max(open, Ordering::SeqCst);
    while let Some(request) = read_request(&mut stream).await {
        recorder.requests.lock().unwrap().push(request.clone());
        let response = script(request).await;
        let written = stream.write_all(response.text.as_bytes()).await;
        match response.after {
            AfterResponse::KeepOpen if written.is_ok() => continue,
            AfterResponse::CloseAfter(wait) => pause(wait).await,
            AfterResponse::KeepOpen | AfterResponse::Close => {}
        }
        break;
    }
    recorder.open.fetch_sub(1, Ordering::SeqCst);
}

/// Waits with a finer resolution than the timer's millisecond.
pub async fn pause(wait: Duration) {
    let start = Instant::now();
    while start.elapsed() < wait {
        tokio::task::yield_now().await;
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    loop {
        if let Some(request) = parse_request(&bytes) {
            return Some(request);
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

fn parse_request(bytes: &[u8]) -> Option<ReceivedRequest> {
    let text = std::str::from_utf8(bytes).unwrap();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let request = ReceivedRequest {
        head: head.to_owned(),
        body: body.to_owned(),
    };
    let length: usize = request.header("content-length")?.parse().unwrap();
    (body.len() == length).then_some(request)
}

/// A response with a body and extra headers, each of which ends in a line break.
pub fn response_text(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}")
}
