//! Endpoint lists that another balancer of the zone forwards.

use serde_json::Value;
use slog::warn;

use crate::discovery::list_error::ListError;
use crate::state::proxy::Proxy;

impl Proxy {
    /// Applies the lists that another balancer forwarded, and polls the complete list when this
    /// balancer has just started to forward it to others.
    pub fn receive_shared_list(&mut self) {
        let Some(cluster) = self.state.borrow().cluster.clone() else {
            return;
        };
        let (pages, needs_complete_list) = {
            let shared_lists = &mut cluster.borrow_mut().shared_lists;
            let pages = shared_lists.take_pages();
            (pages, shared_lists.take_full_list_request())
        };
        for page in pages {
            if let Err(error) = self.apply_shared_page(&page) {
                warn!(self.state.borrow().log, "endpoint list of another balancer malformed";
                    "error" => %error);
            }
        }
        if needs_complete_list {
            self.state.borrow_mut().restart_polling();
        }
    }

    fn apply_shared_page(&mut self, page: &[u8]) -> Result<(), ListError> {
        let list: Value = serde_json::from_slice(page)?;
        let summary = self.apply_list(&list)?;
        let mut state = self.state.borrow_mut();
        state.counters.list_peer_updates += 1;
        state.discovery.has_received_list = true;
        state.discovery.schedule.updated_by_peer(summary);
        state.poll_endpoint_list();
        Ok(())
    }
}
