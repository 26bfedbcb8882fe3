//! Drives the engine: events in, commands out to workers and waiters.
