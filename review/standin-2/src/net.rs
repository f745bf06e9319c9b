//! Sockets and HTTP/1.1, as far as the stand-ins need them.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd as _;
use std::time::Duration;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_SNDBUF: i32 = 7;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;

fn set(stream: &TcpStream, name: i32, values: &[i32]) {
    let length = (values.len() * 4) as u32;
    // SAFETY: the pointer and the length describe `values`.
    let result = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, name, values.as_ptr(), length) };
    assert!(result == 0, "setsockopt: {}", io::Error::last_os_error());
}

pub fn set_send_buffer(stream: &TcpStream, bytes: i32) {
    set(stream, SO_SNDBUF, &[bytes]);
}

pub fn set_receive_buffer(stream: &TcpStream, bytes: i32) {
    set(stream, SO_RCVBUF, &[bytes]);
}

/// Closes a channel with a reset.
pub fn reset(stream: TcpStream) {
    set(&stream, SO_LINGER, &[1, 0]);
}

/// Head and body of a request or of a response with a length.
#[derive(Debug, Default)]
pub struct Message {
    pub start: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads from one channel, with what was read too far.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// Most bytes that are read at once.
    part_bytes: usize,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            part_bytes: 16 << 10,
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part[..self.part_bytes])?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    /// The next head; none if the peer has closed the channel before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let header = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_owned(), value.trim().to_owned()))
        };
        let headers = lines.filter_map(header).collect();
        Ok(Some(Message {
            start,
            headers,
            body: Vec::new(),
        }))
    }

    /// The next message, with its body if it has a length.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let length: usize = message
            .header("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        message.body = self.exactly(length)?;
        Ok(Some(message))
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line = self.buffer.drain(..end + 2).collect::<Vec<u8>>();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// The body of a response, with a length or in chunks, read at `bytes_per_s` (0: as fast as it comes). An error
    /// means that it ended before it was complete; what had arrived is in `body` in either case.
    pub fn paced_body(&mut self, head: &Message, bytes_per_s: u64, body: &mut Vec<u8>) -> io::Result<()> {
        if bytes_per_s > 0 {
            // Twenty reads a second.
            self.part_bytes = (bytes_per_s as usize / 20).clamp(1, self.part_bytes);
        }
        let pace = |bytes: usize| {
            if bytes_per_s > 0 {
                std::thread::sleep(Duration::from_micros(bytes as u64 * 1_000_000 / bytes_per_s));
            }
        };
        if let Some(length) = head
            .header("content-length")
            .and_then(|text| text.parse::<usize>().ok())
        {
            while body.len() < length {
                if self.buffer.is_empty() && self.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                let count = self.buffer.len().min(length - body.len());
                body.extend(self.buffer.drain(..count));
                pace(count);
            }
            return Ok(());
        }
        loop {
            let size = usize::from_str_radix(self.line()?.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut left = size;
            while left > 0 {
                if self.buffer.is_empty() && self.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                let count = self.buffer.len().min(left);
                body.extend(self.buffer.drain(..count));
                left -= count;
                pace(count);
            }
            self.exactly(2)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
}

/// A new channel.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// A response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status} S\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}
