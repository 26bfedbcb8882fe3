//! One thread a process that tends to the links now and then.

use std::sync::Arc;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::Peers;
use super::error::{LinkError, LinkReason};

/// Rounds in the time after which a dial counts as unanswered.
const ROUNDS_A_REDIAL: u64 = 6;

/// The thread; dropping it ends and joins it.
pub(crate) struct Keeper {
    stop: Option<mpsc::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Keeper {
    /// Starts the thread.
    pub(crate) fn start(peers: Arc<Peers>, redial_ms: u64) -> Result<Self, LinkError> {
        let period = Duration::from_millis((redial_ms / ROUNDS_A_REDIAL).max(1));
        let (stop, stopped) = mpsc::channel();
        let thread = thread::Builder::new()
            .name("links".to_owned())
            .spawn(move || keep(&peers, &stopped, period))
            .map_err(|_| LinkError::not_run(LinkReason::Thread))?;
        Ok(Self {
            stop: Some(stop),
            thread: Some(thread),
        })
    }
}

fn keep(peers: &Peers, stopped: &mpsc::Receiver<()>, period: Duration) {
    while stopped.recv_timeout(period) == Err(RecvTimeoutError::Timeout) {
        for peer in peers.all() {
            peer.tend();
        }
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
