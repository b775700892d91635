//! Keys of the tables. They carry a generation: a stale key finds nothing instead of a newer entry.

slotmap::new_key_type! {
    /// The key of a client's connection.
    pub struct ClientKey;
    /// The key of a connection to an endpoint.
    pub struct EndpointConnectionKey;
    /// The key of a request.
    pub struct RequestKey;
    /// The key of an endpoint.
    pub struct EndpointKey;
}
