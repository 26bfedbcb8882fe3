//! What is sent to a backend server.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use trefoil_core::key::JobKey;

use super::outcome::CallError;

/// Names the task: `KEY/INDEX/ATTEMPT`.
pub const TASK_HEADER: HeaderName = HeaderName::from_static("trefoil-task");
const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// One placement of a task on a worker.
#[derive(Clone, Debug)]
pub struct WorkerCall {
    /// Job the task belongs to.
    pub key: Arc<JobKey>,
    /// Position of the task in its job.
    pub index: u32,
    /// Placement number of this task, from 1.
    pub attempt: u32,
    /// Where the worker answers, IP:PORT.
    pub address: Arc<str>,
    /// Path of the service's endpoint.
    pub path: Arc<str>,
    /// Body to send.
    pub payload: Bytes,
    /// Longest wait for the whole answer, connecting included.
    pub timeout_ms: u64,
    /// W3C trace context to pass on.
    pub traceparent: Option<Arc<str>>,
}

impl WorkerCall {
    /// Value of the task header.
    pub fn task_header(&self) -> String {
        format!("{}/{}/{}", self.key, self.index, self.attempt)
    }

    pub(super) fn request(
        &self,
        host: &HeaderValue,
        task: &str,
    ) -> Result<Request<Full<Bytes>>, CallError> {
        let mut request = Request::post(&*self.path)
            .header(HOST, host)
            .header(CONTENT_TYPE, JSON)
            .header(TASK_HEADER, task);
        if let Some(traceparent) = &self.traceparent {
            request = request.header(TRACEPARENT, &**traceparent);
        }
        request
            .body(Full::new(self.payload.clone()))
            .map_err(|error| CallError::NotConnected(format!("request cannot be made: {error}")))
    }
}
