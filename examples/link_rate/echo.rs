//! The baseline: a plain TCP echo, one connection, fixed lengths.

use std::collections::VecDeque;
use std::time::Instant;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::Run;

/// Keeps `depth` messages on their way until `count` have come back.
pub async fn round_trip(bytes: usize, depth: usize, count: usize) -> Run {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.set_nodelay(true).unwrap();
        let mut buffer = vec![0; bytes];
        while stream.read_exact(&mut buffer).await.is_ok() {
            if stream.write_all(&buffer).await.is_err() {
                return;
            }
        }
    });
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let (more, mut sends) = tokio::sync::mpsc::unbounded_channel::<()>();
    tokio::spawn(async move {
        let buffer = vec![1; bytes];
        while sends.recv().await.is_some() {
            if writer.write_all(&buffer).await.is_err() {
                return;
            }
        }
    });
    let mut starts = VecDeque::new();
    let mut latencies = Vec::with_capacity(count);
    let mut buffer = vec![0; bytes];
    let begun = Instant::now();
    for _ in 0..depth {
        starts.push_back(Instant::now());
        more.send(()).unwrap();
    }
    while latencies.len() < count {
        reader.read_exact(&mut buffer).await.unwrap();
        latencies.push(starts.pop_front().unwrap().elapsed());
        if latencies.len() + starts.len() < count {
            starts.push_back(Instant::now());
            more.send(()).unwrap();
        }
    }
    server.abort();
    Run::new(latencies, begun)
}
