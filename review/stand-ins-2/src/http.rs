//! HTTP/1.1 server and client of the stand-ins.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// A request that a stand-in has received.
pub struct Received {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: HeaderMap,
    pub body: Value,
}

impl Received {
    pub fn query(&self, name: &str) -> Option<&str> {
        let pair = self.query.iter().find(|(known, _)| known == name)?;
        Some(&pair.1)
    }
}

/// Serves a listener until `stop` changes, which also closes all connections.
pub fn serve<F, A>(listener: TcpListener, stop: watch::Receiver<bool>, handler: F)
where
    F: Fn(Received) -> A + 'static,
    A: Future<Output = (u16, Value)> + 'static,
{
    let handler = Rc::new(handler);
    spawn_local(async move {
        let mut stopped = stop.clone();
        loop {
            tokio::select! {
                _ = stopped.changed() => return,
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let _ = stream.set_nodelay(true);
                    let handler = Rc::clone(&handler);
                    let mut stopped = stop.clone();
                    spawn_local(async move {
                        tokio::select! {
                            _ = stopped.changed() => {}
                            () = serve_connection(stream, handler) => {}
                        }
                    });
                }
            }
        }
    });
}

async fn serve_connection<F, A>(stream: TcpStream, handler: Rc<F>)
where
    F: Fn(Received) -> A + 'static,
    A: Future<Output = (u16, Value)> + 'static,
{
    let service = service_fn(|request| {
        let handler = Rc::clone(&handler);
        async move {
            let (status, body) = handler(receive(request).await?).await;
            let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
            *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
            Ok::<_, hyper::Error>(response)
        }
    });
    let server = hyper::server::conn::http1::Builder::new();
    let _ = server.serve_connection(TokioIo::new(stream), service).await;
}

async fn receive(request: Request<Incoming>) -> Result<Received, hyper::Error> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let decode = |text: &str| {
        let decoded = percent_encoding::percent_decode_str(text);
        decoded.decode_utf8_lossy().into_owned()
    };
    let query = parts.uri.query().unwrap_or_default().split('&');
    let query = query.filter_map(|pair| pair.split_once('='));
    Ok(Received {
        method: parts.method.to_string(),
        path: parts.uri.path().to_owned(),
        query: query
            .map(|(name, value)| (decode(name), decode(value)))
            .collect(),
        headers: parts.headers,
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
    })
}

/// Status, body and whether the connection is to be closed; or why there is no answer.
pub type Answer = Result<(u16, Value, bool), String>;

/// A client's connection, which is kept open between requests.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    pub async fn open(address: SocketAddr) -> Result<Self, String> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| format!("no connection: {error}"))?;
        let _ = stream.set_nodelay(true);
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| error.to_string())?;
        spawn_local(async move { drop(connection.await) });
        Ok(Self { sender })
    }

    pub async fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Answer {
        let mut request = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = match body {
            Value::Null => Bytes::new(),
            body => Bytes::from(body.to_string()),
        };
        let request = request
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        let response = self.sender.send_request(request).await;
        let (head, body) = response.map_err(|error| error.to_string())?.into_parts();
        let closes = head
            .headers
            .get("connection")
            .is_some_and(|value| value == "close");
        let body = body
            .collect()
            .await
            .map_err(|error| error.to_string())?
            .to_bytes();
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        Ok((head.status.as_u16(), body, closes))
    }
}

/// Sends one request on a connection of its own.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Answer {
    Connection::open(address)
        .await?
        .call(method, path, headers, body)
        .await
}
