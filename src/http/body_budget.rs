//! Limit on the memory of submissions' bodies.
//!
//! A body counts from its first byte until the last payload that refers to it is dropped. When
//! the memory is used up, the body that began to arrive first is given up for the newest one: a
//! body usually arrives within moments, so that the one which has been arriving for longest is
//! the least likely to end. Complete bodies are kept.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use derive_more::{Display, Error};
use tokio::sync::Notify;

/// The body's memory is needed for other bodies.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("too many bodies are in memory")]
pub struct Evicted;

/// Memory that all bodies share.
#[derive(Debug)]
pub struct BodyBudget {
    bytes_max: u64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Memory of all bodies, complete or not.
    used_bytes: u64,
    /// Bodies that are being received, oldest first.
    receiving: BTreeMap<u64, Incomplete>,
    next_number: u64,
}

#[derive(Debug)]
struct Incomplete {
    bytes: u64,
    evicted: Arc<Notify>,
}

impl State {
    /// Gives up the oldest body that occupies memory. Returns its number.
    fn evict_oldest(&mut self) -> Option<u64> {
        let mut bodies = self.receiving.iter();
        let (&number, _) = bodies.find(|(_, body)| body.bytes > 0)?;
        let body = self.receiving.remove(&number)?;
        self.used_bytes -= body.bytes;
        body.evicted.notify_one();
        Some(number)
    }
}

impl BodyBudget {
    /// Creates a budget of `bytes_max` bytes. A single body may exceed it.
    pub fn new(bytes_max: u64) -> Arc<Self> {
        Arc::new(Self {
            bytes_max,
            state: Mutex::default(),
        })
    }

    /// Memory of all bodies, in bytes.
    pub fn used_bytes(&self) -> u64 {
        self.lock().used_bytes
    }

    /// Begins to receive a body.
    pub fn receive(self: &Arc<Self>) -> Receiving {
        let evicted = Arc::<Notify>::default();
        let mut state = self.lock();
        let number = state.next_number;
        state.next_number += 1;
        let body = Incomplete {
            bytes: 0,
            evicted: Arc::clone(&evicted),
        };
        state.receiving.insert(number, body);
        Receiving {
            budget: Arc::clone(self),
            number,
            evicted,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A body that is being received; its memory is released when this is dropped.
#[derive(Debug)]
pub struct Receiving {
    budget: Arc<BodyBudget>,
    number: u64,
    evicted: Arc<Notify>,
}

impl Receiving {
    /// Notifies once when the body is given up for others.
    pub fn evicted(&self) -> Arc<Notify> {
        Arc::clone(&self.evicted)
    }

    /// Reserves memory for further `bytes`, if need be in the place of other bodies.
    ///
    /// # Errors
    ///
    /// If the body has been given up for others, or is the next to be.
    pub fn grow(&mut self, bytes: u64) -> Result<(), Evicted> {
        let mut state = self.budget.lock();
        loop {
            let own_bytes = state.receiving.get(&self.number).ok_or(Evicted)?.bytes;
            let is_alone = state.used_bytes == own_bytes;
            if is_alone || state.used_bytes + bytes <= self.budget.bytes_max {
                break;
            }
            state.evict_oldest().ok_or(Evicted)?;
        }
        state.used_bytes += bytes;
        let body = state.receiving.get_mut(&self.number).ok_or(Evicted)?;
        body.bytes += bytes;
        Ok(())
    }

    /// Ends the reception. The memory is released when the last clone or slice of the returned
    /// bytes is dropped.
    ///
    /// # Errors
    ///
    /// If the body has been given up for others.
    pub fn finish(self, data: Vec<u8>) -> Result<Bytes, Evicted> {
        let body = self.budget.lock().receiving.remove(&self.number);
        let body = body.ok_or(Evicted)?;
        Ok(Bytes::from_owner(CompleteBody {
            data,
            budget: Arc::clone(&self.budget),
            bytes: body.bytes,
        }))
    }
}

impl Drop for Receiving {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        if let Some(body) = state.receiving.remove(&self.number) {
            state.used_bytes -= body.bytes;
        }
    }
}

/// The owner of a complete body's bytes.
struct CompleteBody {
    data: Vec<u8>,
    budget: Arc<BodyBudget>,
    bytes: u64,
}

impl AsRef<[u8]> for CompleteBody {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for CompleteBody {
    fn drop(&mut self) {
        self.budget.lock().used_bytes -= self.bytes;
    }
}
