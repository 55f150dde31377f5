//! HTTP/1.1 messages over blocking sockets.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// `Message` is a request or a response. Header names are in lowercase.
#[derive(Debug, Clone)]
pub struct Message {
    pub start: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a message, or returns `None` at the end of the connection.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|coding| coding == "chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = headers.get("content-length") {
        body.resize(length.parse().map_err(io::Error::other)?, 0);
        reader.read_exact(&mut body)?;
    }
    let start = start.trim_end().to_owned();
    Ok(Some(Message { start, headers, body }))
}

/// Returns the bytes of a response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    [text.as_bytes(), body].concat()
}

/// Serves connections, each in a thread of its own. `handle` returns the response to a request, or `None` to close the
/// connection without one.
pub fn serve(
    handle: impl Fn(&Message) -> Option<Vec<u8>> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let connection = move || {
                // A broken connection is the end of its thread only.
                let _ = serve_connection(stream, &*handle);
            };
            let builder = thread::Builder::new().stack_size(128 * 1024);
            if builder.spawn(connection).is_err() {
                eprintln!("no thread for a connection");
            }
        }
    });
    Ok(address)
}

fn serve_connection(
    stream: TcpStream,
    handle: &(impl Fn(&Message) -> Option<Vec<u8>> + ?Sized),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read(&mut reader)? {
        let Some(response) = handle(&request) else {
            return Ok(());
        };
        writer.write_all(&response)?;
    }
    Ok(())
}

/// Sends a request on a new connection and returns the response, or `None` without a complete one.
pub fn call(to: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    stream.write_all(request).ok()?;
    read(&mut BufReader::new(stream)).ok()?
}
