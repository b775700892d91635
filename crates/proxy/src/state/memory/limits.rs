//! Division of the memory limit: the process itself, connections, the endpoint list, and messages.

use super::UNRESERVED_BYTES;
use crate::state::finished_requests::REMEMBERED_BYTES;

const KIBIBYTE: usize = 1024;
const MEBIBYTE: usize = 1024 * KIBIBYTE;

/// Memory that is divided, as a fraction of the limit in percent. The rest allows for
/// fragmentation.
const DIVIDED_PERCENT: usize = 80;
/// Memory of a process without connections and messages: program, tables of endpoints, log.
const PROCESS_BYTES: usize = 6 * MEBIBYTE;
/// Memory of a client connection: its table entry, event source and timer, bytes read ahead, and
/// the unreserved parts of a request and a response.
pub const CLIENT_CONNECTION_BYTES: usize = 4 * KIBIBYTE + 2 * UNRESERVED_BYTES;
/// Memory of a connection to an endpoint: its table entry, event source and timer, and the
/// unreserved part of a response.
pub const ENDPOINT_CONNECTION_BYTES: usize = 2 * KIBIBYTE + UNRESERVED_BYTES;
/// Fraction of the limit that an endpoint list in the form in which discovery sends it may take.
const LIST_DIVISOR: usize = 64;
const MIN_LIST_BYTES: usize = 256 * KIBIBYTE;
const MAX_LIST_BYTES: usize = 4 * MEBIBYTE;
/// Memory to read, decode and apply a list, as a multiple of its length.
const LIST_COPIES: usize = 8;
/// Fraction of the limit that each kind of finished requests may take.
const REMEMBERED_DIVISOR: usize = 32;
const MAX_REMEMBERED_REQUESTS: usize = 65_536;
/// Smallest number of client connections to which a memory limit reduces their number.
const MIN_CLIENT_CONNECTIONS: usize = 16;
/// Smallest number of connections to endpoints.
const MIN_ENDPOINT_CONNECTIONS: usize = 8;

/// The division of a memory limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Maximum number of client connections.
    pub client_connections: usize,
    /// Maximum number of connections to endpoints.
    pub endpoint_connections: usize,
    /// Maximum length of an endpoint list in the form in which discovery sends it, in bytes.
    pub list_bytes: usize,
    /// Number of finished requests that are remembered of those whose clients left, and as many of
    /// those that were answered.
    pub remembered_requests: usize,
    /// Memory that clients' messages may reserve together, in bytes.
    pub request_bytes: usize,
    /// Memory that endpoints' responses may reserve together, in bytes.
    pub response_bytes: usize,
}

impl MemoryLimits {
    /// Divides a limit in MiB among the given numbers of connections and messages. Connections take
    /// half of what the process leaves at most; their numbers are reduced to that. Without a limit,
    /// only the list is limited.
    pub fn divide(
        memory_mb: Option<u64>,
        client_connections: usize,
        endpoint_connections: usize,
    ) -> Self {
        let Some(memory_mb) = memory_mb else {
            return Self {
                client_connections,
                endpoint_connections,
                list_bytes: MAX_LIST_BYTES,
                remembered_requests: MAX_REMEMBERED_REQUESTS,
                request_bytes: usize::MAX,
                response_bytes: usize::MAX,
            };
        };
        let limit = usize::try_from(memory_mb)
            .unwrap_or(usize::MAX)
            .saturating_mul(MEBIBYTE);
        let divided = limit / 100 * DIVIDED_PERCENT;
        let list_bytes = (limit / LIST_DIVISOR).clamp(MIN_LIST_BYTES, MAX_LIST_BYTES);
        let remembered_requests =
            (limit / REMEMBERED_DIVISOR / REMEMBERED_BYTES).min(MAX_REMEMBERED_REQUESTS);
        let fixed =
            PROCESS_BYTES + list_bytes * LIST_COPIES + 2 * remembered_requests * REMEMBERED_BYTES;
        let left = divided.saturating_sub(fixed);
        let wanted = client_connections * CLIENT_CONNECTION_BYTES
            + endpoint_connections * ENDPOINT_CONNECTION_BYTES;
        let granted = wanted.min(left / 4 * 3);
        let reduced = |count: usize, min: usize| {
            let fraction = granted as f64 / wanted.max(1) as f64;
            ((count as f64 * fraction) as usize).clamp(min.min(count), count)
        };
        let messages = left.saturating_sub(granted);
        Self {
            client_connections: reduced(client_connections, MIN_CLIENT_CONNECTIONS),
            endpoint_connections: reduced(endpoint_connections, MIN_ENDPOINT_CONNECTIONS),
            list_bytes,
            remembered_requests,
            request_bytes: messages / 2,
            response_bytes: messages / 2,
        }
    }
}
