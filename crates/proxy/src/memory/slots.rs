//! Numbered slots whose keys carry a generation: a key kept too long finds nothing rather than a stranger.

slotmap::new_key_type! {
    /// A connection from a client.
    pub struct ClientSlot;
    /// A connection to an upstream.
    pub struct LinkSlot;
    /// A ticket that has no final answer yet, or still has a dispatch out.
    pub struct TicketSlot;
    /// An upstream that some list has named.
    pub struct UpstreamSlot;
}
