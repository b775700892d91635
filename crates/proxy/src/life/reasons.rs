//! Why a connection ended: the codes of the log lines, explained in `docs/on-call.md`.

// Clients' connections.
pub const CLIENT_CLOSED: &str = "client_closed";
pub const CLIENT_LEFT: &str = "client_left";
pub const CLIENT_CUT_SHORT: &str = "client_cut_short";
pub const CLIENT_RESET: &str = "client_reset";
pub const CLIENT_LAST: &str = "client_last";
pub const CLIENT_IDLE: &str = "client_idle";
pub const SLOW_SENDER: &str = "slow_sender";
pub const SLOW_READER: &str = "slow_reader";
pub const MALFORMED: &str = "malformed";
pub const HEAD_TOO_LARGE: &str = "head_too_large";
pub const CROWD: &str = "crowd";
pub const NO_ROOM: &str = "no_room";
pub const BODY_TOO_LARGE: &str = "body_too_large";

// Connections to upstreams.
pub const CONNECT_FAILED: &str = "connect_failed";
pub const CONNECT_TIMEOUT: &str = "connect_timeout";
pub const NOT_WRITTEN: &str = "not_written";
pub const LINK_BROKEN: &str = "link_broken";
pub const LINK_CLOSED: &str = "link_closed";
pub const LINK_IDLE: &str = "link_idle";
pub const LINK_LAST: &str = "link_last";
pub const CALLED_OFF: &str = "called_off";
pub const SILENT: &str = "silent";
pub const DRAINED: &str = "drained";
pub const STALE: &str = "stale";
pub const MOVED: &str = "moved";
pub const UNASKED: &str = "unasked";

// The connection to discovery.
pub const DISCOVERY_CLOSED: &str = "discovery_closed";
pub const DISCOVERY_BROKEN: &str = "discovery_broken";
pub const DISCOVERY_CUT: &str = "discovery_cut";
pub const DISCOVERY_REPLACED: &str = "discovery_replaced";
pub const DISCOVERY_ERROR: &str = "discovery_error";

// Any of them.
pub const NONSENSE: &str = "nonsense";
pub const NOT_WIRED: &str = "not_wired";
pub const MADE_ROOM: &str = "made_room";
pub const STOPPED: &str = "stopped";
