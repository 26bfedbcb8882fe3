//! Builds the requests sent to workers.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use trefoil_core::key::JobKey;

use super::outcome::CallError;

/// Header that names the task: `KEY/INDEX/ATTEMPT`.
pub(crate) const TASK_HEADER: HeaderName = HeaderName::from_static("trefoil-task");
const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// One placement of a task on a worker.
#[derive(Clone, Debug)]
pub struct WorkerCall {
    /// Key of the task's job.
    pub key: Arc<JobKey>,
    /// Position of the task in its job, from 0.
    pub index: u32,
    /// Number of this placement of the task, from 1.
    pub attempt: u32,
    /// Address of the worker, `IP:PORT`.
    pub address: Arc<str>,
    /// URL path of the service.
    pub path: Arc<str>,
    /// Request body.
    pub payload: Bytes,
    /// Timeout of the whole call, including the connect.
    pub timeout_ms: u64,
    /// W3C trace context to send along.
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
            .map_err(|error| CallError::NotSent(format!("cannot build the request: {error}")))
    }
}
