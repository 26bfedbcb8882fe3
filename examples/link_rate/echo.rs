//! The baseline: TCP echo of fixed-size messages over one connection.

use std::collections::VecDeque;
use std::time::Instant;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::Run;

/// Keeps `depth` messages in flight until `count` have returned.
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
    let (send_one, mut sends) = tokio::sync::mpsc::unbounded_channel::<()>();
    tokio::spawn(async move {
        let buffer = vec![1; bytes];
        while sends.recv().await.is_some() {
            if writer.write_all(&buffer).await.is_err() {
                return;
            }
        }
    });
    let mut sent_at = VecDeque::new();
    let mut latencies = Vec::with_capacity(count);
    let mut buffer = vec![0; bytes];
    let started = Instant::now();
    for _ in 0..depth {
        sent_at.push_back(Instant::now());
        send_one.send(()).unwrap();
    }
    while latencies.len() < count {
        reader.read_exact(&mut buffer).await.unwrap();
        latencies.push(sent_at.pop_front().unwrap().elapsed());
        if latencies.len() + sent_at.len() < count {
            sent_at.push_back(Instant::now());
            send_one.send(()).unwrap();
        }
    }
    server.abort();
    Run::new(latencies, started)
}
