//! A small HTTP/1.1 server and client over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request or response head, with its body once it was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    fn length(&self) -> Option<usize> {
        self.header("content-length")?.trim().parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }
}

/// A connection with its unread bytes.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

const STACK: usize = 128 * 1024;

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    pub fn connect(to: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, limit)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buf.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a head. Returns `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(line) = self.line()? else { return Ok(None) };
        let mut message = Message { line, ..Message::default() };
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..count).collect())
    }

    /// Reads the body that a head announces.
    pub fn body(&mut self, head: &Message, ends_with_connection: bool) -> io::Result<Vec<u8>> {
        if head.is_chunked() {
            let mut body = Vec::new();
            loop {
                let size = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
                let data = self.exactly(size)?;
                self.line()?;
                if size == 0 {
                    return Ok(body);
                }
                body.extend(data);
            }
        }
        match head.length() {
            Some(length) => self.exactly(length),
            None if ends_with_connection => {
                while self.fill()? > 0 {}
                Ok(std::mem::take(&mut self.buf))
            }
            None => Ok(Vec::new()),
        }
    }

    /// Reads a whole request.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        message.body = self.body(&message, false)?;
        Ok(Some(message))
    }

    /// Reads a whole response.
    pub fn response(&mut self) -> io::Result<Message> {
        let mut message = self.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        message.body = self.body(&message, true)?;
        Ok(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a response with a length.
    pub fn respond(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n", body.len());
        self.send(&[head.as_bytes(), body].concat())
    }
}

/// Returns whether the other side has closed the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Serves each connection in a thread of its own.
pub fn serve(listener: TcpListener, handler: impl Fn(Connection) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let _ = thread::Builder::new()
                .stack_size(STACK)
                .spawn(move || handler(Connection::new(stream)));
        }
    });
}

/// Returns the values of a query string.
pub fn query(target: &str) -> Vec<(String, String)> {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), decode(value))).collect()
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
