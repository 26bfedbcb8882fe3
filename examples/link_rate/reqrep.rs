//! nng REQ/REP over one connection, a context each exchange in flight.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nng::{Aio, AioResult, Context, Message, Protocol, Socket};

use crate::Run;

/// Keeps `depth` requests on their way until `count` have been answered.
pub async fn round_trip(bytes: usize, depth: usize, count: usize) -> Run {
    tokio::task::spawn_blocking(move || run(bytes, depth, count))
        .await
        .unwrap()
}

fn run(bytes: usize, depth: usize, count: usize) -> Run {
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("tcp://{}", free.local_addr().unwrap());
    drop(free);
    let server = Socket::new(Protocol::Rep0).unwrap();
    let workers: Vec<_> = (0..depth).map(|_| serve(&server)).collect();
    server.listen(&url).unwrap();
    for (aio, context) in &workers {
        context.recv(aio).unwrap();
    }
    let client = Socket::new(Protocol::Req0).unwrap();
    client.dial(&url).unwrap();
    let latencies = Arc::new(Mutex::new(Vec::with_capacity(count)));
    let (done, finished) = std::sync::mpsc::channel();
    let begun = Instant::now();
    let askers: Vec<_> = (0..depth)
        .map(|_| ask(&client, bytes, count / depth, &latencies, done.clone()))
        .collect();
    for _ in 0..depth {
        finished.recv().unwrap();
    }
    let all = std::mem::take(&mut *latencies.lock().unwrap());
    let run = Run::new(all, begun);
    client.close();
    server.close();
    for (aio, _) in askers.iter().chain(&workers) {
        aio.wait();
    }
    run
}

fn serve(server: &Socket) -> (Aio, Context) {
    let context = Context::new(server).unwrap();
    let own = context.clone();
    let aio = Aio::new(move |aio, result| match result {
        AioResult::Recv(Ok(message)) => drop(own.send(&aio, message)),
        AioResult::Send(Ok(())) => drop(own.recv(&aio)),
        _ => {}
    });
    (aio.unwrap(), context)
}

fn ask(
    client: &Socket,
    bytes: usize,
    count: usize,
    latencies: &Arc<Mutex<Vec<Duration>>>,
    done: std::sync::mpsc::Sender<()>,
) -> (Aio, Context) {
    let context = Context::new(client).unwrap();
    let own = context.clone();
    let latencies = latencies.clone();
    let state = Mutex::new((Instant::now(), count));
    let aio = Aio::new(move |aio, result| match result {
        AioResult::Send(Ok(())) => drop(own.recv(&aio)),
        AioResult::Recv(Ok(_)) => {
            let mut state = state.lock().unwrap();
            latencies.lock().unwrap().push(state.0.elapsed());
            state.1 -= 1;
            if state.1 == 0 {
                let _ = done.send(());
                return;
            }
            state.0 = Instant::now();
            drop(own.send(&aio, Message::with_zeros(bytes)));
        }
        _ => {}
    })
    .unwrap();
    context.send(&aio, Message::with_zeros(bytes)).unwrap();
    (aio, context)
}
