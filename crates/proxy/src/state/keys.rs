//! Keys of the tables. A key contains a generation, so that a stale key finds nothing instead of a
//! newer entry.

slotmap::new_key_type! {
    /// The key of a client connection.
    pub struct ClientKey;
    /// The key of a connection to an endpoint.
    pub struct EndpointConnectionKey;
    /// The key of a request.
    pub struct RequestKey;
    /// The key of an endpoint.
    pub struct EndpointKey;
}
