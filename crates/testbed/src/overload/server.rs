//! Servers of the measurement: the last part of the path decides how long a request takes and how
//! long its response is.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::http;
use crate::world::locked;

/// Time that a server takes for a usual request.
const PROCESSING_TIME: Duration = Duration::from_millis(2);
/// Time that a server takes for a request whose path ends with `/slow`.
const SLOW_PROCESSING_TIME: Duration = Duration::from_secs(1);
/// Length of the response to a request whose path ends with `/large`.
const LARGE_RESPONSE_BYTES: usize = 64 * 1024;

/// The cells in which requests with a key have run, by request id.
#[derive(Default)]
pub struct RunLog(Mutex<HashMap<String, Vec<usize>>>);

/// Numbers of requests that ran more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RepeatedRuns {
    /// Requests that ran more than once.
    pub repeated: usize,
    /// Requests that ran in more than one cell, whose servers do not know each other's keys.
    pub in_several_cells: usize,
}

impl RunLog {
    fn record(&self, id: &str, cell: usize) {
        let mut runs = locked(&self.0);
        runs.entry(id.to_owned()).or_default().push(cell);
    }

    /// Counts the requests that ran more than once.
    pub fn repeated_runs(&self) -> RepeatedRuns {
        let runs = locked(&self.0);
        let count = |is_counted: &dyn Fn(&[usize]) -> bool| {
            runs.values().filter(|cells| is_counted(cells)).count()
        };
        RepeatedRuns {
            repeated: count(&|cells| cells.len() > 1),
            in_several_cells: count(&|cells| cells.iter().any(|cell| *cell != cells[0])),
        }
    }
}

/// Starts a server of a cell, and returns its address.
pub async fn start(cell: usize, log: Arc<RunLog>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, cell, Arc::clone(&log)));
        }
    });
    Ok(address)
}

async fn serve(mut stream: TcpStream, cell: usize, log: Arc<RunLog>) {
    let _ = stream.set_nodelay(true);
    let large = "l".repeat(LARGE_RESPONSE_BYTES);
    let mut buffer = Vec::new();
    while let Some(request) = http::read_request(&mut stream, &mut buffer).await {
        buffer.drain(..request.end);
        if request.method == "POST"
            && let Some(id) = &request.id
        {
            log.record(id, cell);
        }
        let is_slow = request.path.ends_with("/slow");
        sleep(if is_slow {
            SLOW_PROCESSING_TIME
        } else {
            PROCESSING_TIME
        })
        .await;
        let body = if request.path.ends_with("/large") {
            large.as_str()
        } else {
            "served\n"
        };
        if http::write_response(&mut stream, "200 OK", "", body)
            .await
            .is_err()
        {
            return;
        }
    }
}
