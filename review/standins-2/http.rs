//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// `Message` is a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    /// Headers by their names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut text = String::new();
    let count = reader.read_line(&mut text)?;
    Ok((count > 0).then(|| text.trim_end().to_owned()))
}

/// Reads a message, or returns `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(start) = line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        start,
        ..Message::default()
    };
    while let Some(text) = line(reader)?.filter(|text| !text.is_empty()) {
        if let Some((name, value)) = text.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.insert(name, value.trim().to_owned());
        }
    }
    if let Ok(length) = message.header("content-length").parse::<usize>() {
        let mut body = vec![0; length];
        message.is_whole = reader.read_exact(&mut body).is_ok();
        message.body = body;
        return Ok(Some(message));
    }
    message.is_whole = true;
    while message.header("transfer-encoding") == "chunked" {
        let size = match line(reader) {
            Ok(Some(text)) => usize::from_str_radix(text.trim(), 16).ok(),
            _ => None,
        };
        let Some(size) = size else {
            message.is_whole = false;
            break;
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            message.is_whole = false;
            break;
        }
        if size == 0 {
            break;
        }
        message.body.extend_from_slice(&chunk[..size]);
    }
    Ok(Some(message))
}

/// Writes a response with a body of known length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// Sends a request on a new connection and reads its response.
pub fn call(to: SocketAddr, head: &str, body: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut bytes = head.as_bytes().to_vec();
    if !body.is_empty() {
        bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let message = read_message(&mut BufReader::new(stream))?;
    message.ok_or_else(|| io::Error::other("closed without an answer"))
}
