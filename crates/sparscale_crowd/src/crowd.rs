//! Plays the scripts of a crowd.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::script::Script;

/// Interval at which the crowd is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Callers that play their scripts at the same time, and then keep their connections open. Dropping the crowd closes
/// them.
#[derive(Debug)]
pub struct Crowd {
    callers: JoinSet<()>,
    size: usize,
    /// Callers that have sent all of their scripts, or whose connections were closed before.
    finished: Arc<AtomicUsize>,
}

impl Crowd {
    /// Starts one caller for each script.
    pub fn start(scripts: impl IntoIterator<Item = Script>) -> Self {
        let finished = Arc::new(AtomicUsize::new(0));
        let mut callers = JoinSet::new();
        for script in scripts {
            let finished = Arc::clone(&finished);
            callers.spawn(async move {
                // A connection that the process refuses or closes is what some of the tests are about.
                let connection = play(&script).await;
                finished.fetch_add(1, Ordering::SeqCst);
                if connection.is_ok() {
                    std::future::pending::<()>().await;
                }
            });
        }
        Self {
            size: callers.len(),
            callers,
            finished,
        }
    }

    /// Waits until all callers have sent what they send or have lost their connections, for at most `timeout`.
    pub async fn wait_until_sent(&self, timeout: Duration) {
        let started_at = Instant::now();
        while self.finished.load(Ordering::SeqCst) < self.size && started_at.elapsed() < timeout {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Closes all connections.
    pub async fn close(mut self) {
        self.callers.shutdown().await;
    }
}

/// Sends the script; the returned guard keeps the connection open.
async fn play(script: &Script) -> io::Result<impl Sized + use<>> {
    let stream = TcpStream::connect(script.address).await?;
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.into_split();
    let reads_response = script.reads_response;
    let mut reading = JoinSet::new();
    reading.spawn(async move {
        let mut buffer = [0; 4096];
        while reads_response && reader.read(&mut buffer).await.is_ok_and(|bytes| bytes > 0) {}
        if reads_response {
            return;
        }
        // Keeps the unread half open.
        std::future::pending::<()>().await;
        drop(reader);
    });
    writer.write_all(&script.head).await?;
    for _ in 0..script.part_count {
        writer.write_all(&script.part).await?;
    }
    writer.write_all(&script.ending).await?;
    Ok((reading, writer))
}
