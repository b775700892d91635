//! Why a connection ended: the codes of the log lines, explained in `docs/on-call.md`.

// Clients' connections.
pub const CLIENT_CLOSED: &str = "client_closed";
pub const CLIENT_DISCONNECTED: &str = "client_disconnected";
pub const CLIENT_TRUNCATED: &str = "client_truncated";
pub const CLIENT_RESET: &str = "client_reset";
pub const CLIENT_NO_KEEP_ALIVE: &str = "client_no_keep_alive";
pub const CLIENT_IDLE: &str = "client_idle";
pub const SLOW_SENDER: &str = "slow_sender";
pub const SLOW_READER: &str = "slow_reader";
pub const MALFORMED: &str = "malformed";
pub const HEAD_TOO_LARGE: &str = "head_too_large";
pub const CONNECTION_LIMIT: &str = "connection_limit";
pub const MEMORY_LIMIT: &str = "memory_limit";
pub const BODY_TOO_LARGE: &str = "body_too_large";

// Connections to endpoints.
pub const CONNECT_FAILED: &str = "connect_failed";
pub const CONNECT_TIMEOUT: &str = "connect_timeout";
pub const NOT_WRITTEN: &str = "not_written";
pub const ENDPOINT_CONNECTION_LOST: &str = "endpoint_connection_lost";
pub const ENDPOINT_CLOSED: &str = "endpoint_closed";
pub const ENDPOINT_IDLE: &str = "endpoint_idle";
pub const ENDPOINT_NO_KEEP_ALIVE: &str = "endpoint_no_keep_alive";
pub const CANCELLED: &str = "cancelled";
pub const TIMED_OUT: &str = "timed_out";
pub const DRAINING: &str = "draining";
pub const STALE: &str = "stale";
pub const ADDRESS_CHANGED: &str = "address_changed";
pub const UNSOLICITED_RESPONSE: &str = "unsolicited_response";

// The connection to discovery.
pub const DISCOVERY_CLOSED: &str = "discovery_closed";
pub const DISCOVERY_CONNECTION_LOST: &str = "discovery_connection_lost";
pub const DISCOVERY_TRUNCATED: &str = "discovery_truncated";
pub const DISCOVERY_REPLACED: &str = "discovery_replaced";
pub const DISCOVERY_ERROR: &str = "discovery_error";

// Any of them.
pub const MALFORMED_MESSAGE: &str = "malformed_message";
pub const NOT_REGISTERED: &str = "not_registered";
pub const EVICTED: &str = "evicted";
pub const SHUTDOWN: &str = "shutdown";
