//! HTTP/1.1 server and client, one thread for each connection.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use crate::json::{self, Value};

/// A request as a server receives it.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    /// Names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Value,
}

/// What a server does with a request.
#[derive(Debug)]
pub enum Reply {
    Send(u16, Value),
    /// Closes the connection without a response.
    Close,
}

/// Serves each connection of a listener in the background. `open` is called for each new
/// connection and returns the handler of its requests.
pub fn serve<H>(listener: TcpListener, open: impl Fn(&TcpStream) -> H + Send + 'static)
where
    H: Fn(Request) -> Reply + Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = open(&stream);
            thread::spawn(move || {
                // A peer may close its connection at any time.
                let _ = serve_connection(&stream, &handler);
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
}

fn serve_connection(stream: &TcpStream, handler: &dyn Fn(Request) -> Reply) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        match handler(request) {
            Reply::Send(status, body) => write_response(stream, status, &body)?,
            Reply::Close => return Ok(()),
        }
    }
    Ok(())
}

fn write_response(mut stream: &TcpStream, status: u16, body: &Value) -> io::Result<()> {
    let body = body.to_string();
    let length = body.len();
    let response = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(response.as_bytes())
}

/// First line, headers and body of a message; `None` at the end of the connection.
type Message = (String, HashMap<String, String>, Vec<u8>);

fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length");
    let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((first, headers, body)))
}

fn parse_body(body: &[u8]) -> Value {
    let text = std::str::from_utf8(body).ok();
    text.and_then(json::parse).unwrap_or(Value::Null)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers, body)) = read_message(reader)? else {
        return Ok(None);
    };
    let mut words = first.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: pairs
            .map(|(name, value)| (name.to_owned(), decode_percent(value)))
            .collect(),
        headers,
        body: parse_body(&body),
    }))
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code.filter(|_| bytes[at] == b'%') {
            Some(code) => {
                decoded.push(code);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends a request on a new connection and waits for the response.
///
/// # Errors
///
/// If there is no complete response within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, Value)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        request += &format!("{name}: {value}\r\n");
    }
    request += &format!("\r\n{body}");
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(&stream);
    let (first, _, body) =
        read_message(&mut reader)?.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let status = first.split_whitespace().nth(1);
    let status = status.and_then(|status| status.parse().ok());
    let status = status.ok_or(io::Error::from(io::ErrorKind::InvalidData))?;
    Ok((status, parse_body(&body)))
}
