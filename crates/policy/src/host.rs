//! The calls through which a [`Balancer`](crate::Balancer) acts on the outside.

use crate::Micros;

/// The actions of a balancer. Each takes effect at the time of the event that the balancer is
/// handling.
pub trait Host {
    /// Sends the request to the endpoint. The attempt times out by itself at `expire_at`.
    fn start_attempt(&mut self, request: &str, endpoint: &str, expire_at: Micros);
    /// Cancels one attempt of the request; attempts are counted from 0.
    fn cancel_attempt(&mut self, request: &str, attempt: usize);
    /// Answers the request as not served. A retry after `retry_after` microseconds is harmless.
    fn reject(&mut self, request: &str, retry_after: Micros);
    /// Answers the request as failed. It may have run, so a retry is not known to be harmless.
    fn fail(&mut self, request: &str);
    /// Requests a call of [`Balancer::timer_expired`](crate::Balancer::timer_expired) with `timer`
    /// after the given time.
    fn set_timer(&mut self, after: Micros, timer: u64);
    /// Polls the endpoint list, or subscribes to its changes.
    fn poll_endpoint_list(&mut self);
    /// Requests the load of an endpoint.
    /// [`Balancer::probe_completed`](crate::Balancer::probe_completed) takes the result.
    fn probe(&mut self, endpoint: &str);
    /// Closes the idle connections to an endpoint.
    fn close_idle_connections(&mut self, endpoint: &str);
    /// Sends a gossip message to one balancer, or to all others with `None`. It may be lost.
    fn send_gossip(&mut self, balancer: Option<usize>, message: &str);
}
