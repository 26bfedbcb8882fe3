//! A small HTTP/1.1 server and client, one thread for each connection.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::Value;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    /// Names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Value,
}

/// What a handler does with a request.
pub enum Reply {
    Answer(u16, Value),
    /// The connection is closed without an answer.
    Close,
}

/// A listener whose connections can be reset at once.
pub struct Server {
    pub address: SocketAddr,
    connections: Mutex<Vec<TcpStream>>,
}

impl Server {
    pub fn start<F>(listener: TcpListener, handler: F) -> Arc<Self>
    where
        F: Fn(Request) -> Reply + Send + Sync + 'static,
    {
        let server = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            connections: Mutex::new(Vec::new()),
        });
        let handler = Arc::new(handler);
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    accepting.connections.lock().unwrap().push(copy);
                }
                let handler = Arc::clone(&handler);
                thread::spawn(move || {
                    let _ = serve(&stream, handler.as_ref());
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        server
    }

    /// Breaks all connections.
    pub fn break_connections(&self) {
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: &TcpStream, handler: &dyn Fn(Request) -> Reply) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    while let Some((line, headers, body)) = read_message(&mut reader)? {
        let mut words = line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            method,
            path: path.to_owned(),
            query: query
                .map(|(name, value)| (decode(name), decode(value)))
                .collect(),
            headers,
            body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        };
        match handler(request) {
            Reply::Answer(status, body) => {
                let body = body.to_string();
                let answer = format!(
                    "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                (&mut &*stream).write_all(answer.as_bytes())?;
            }
            Reply::Close => return Ok(()),
        }
    }
    Ok(())
}

type Message = (String, HashMap<String, String>, Vec<u8>);

fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = header.trim_end().split_once(':') else {
            break;
        };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length");
    let length = length
        .and_then(|text| text.parse::<usize>().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((line.trim_end().to_owned(), headers, body)))
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        let hex = after.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(value) if byte == b'%' => {
                bytes.push(value);
                rest = &after[2..];
            }
            _ => {
                bytes.push(byte);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request on a connection of its own. `None`: no complete answer within `patience`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    patience: Duration,
) -> Option<(u16, Value)> {
    let stream = TcpStream::connect_timeout(&address, patience).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    text += body;
    (&mut &stream).write_all(text.as_bytes()).ok()?;
    let (line, _, body) = read_message(&mut BufReader::new(&stream)).ok()??;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}
