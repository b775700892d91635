//! Keys of the tables. They carry a generation: a stale key finds nothing instead of a newer entry.

slotmap::new_key_type! {
    /// A connection from a client.
    pub struct ClientKey;
    /// A connection to an endpoint.
    pub struct EndpointConnectionKey;
    /// A request that has no final answer yet, or still has a dispatch out.
    pub struct RequestKey;
    /// An endpoint that some list has named.
    pub struct EndpointKey;
}
