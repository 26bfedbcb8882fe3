//! The callers' interface: keys and jobs.
