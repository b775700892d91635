//! Pages about the balancer itself: health, counters and its cluster.

use bytes::Bytes;

use crate::connections::client_response::ClientResponse;
use crate::state::keys::ClientKey;
use crate::state::proxy::ProxyState;

/// The path under which the leases of named duties are shown.
const DUTY_PREFIX: &str = "/duty/";

impl ProxyState {
    /// Answers a request for one of the balancer's own pages. Returns whether there is such a page.
    pub fn serve_own_page(&mut self, key: ClientKey, method: &str, path: &str) -> bool {
        let Some((status, text)) = self.own_page(path) else {
            return false;
        };
        if method == "GET" {
            let mut response = ClientResponse::empty(status);
            response.body.push(Bytes::from(text));
            self.write_response(key, response);
        } else {
            self.reject(key, 405);
        }
        true
    }

    /// The status and text of a page.
    fn own_page(&self, path: &str) -> Option<(u16, String)> {
        match path {
            "/health/ready" if self.is_ready() => Some((200, "ready\n".into())),
            "/health/ready" => Some((503, "not ready\n".into())),
            "/health/live" => Some((200, "live\n".into())),
            "/stats" => Some((200, self.counters.to_string())),
            "/fleet" => Some((200, self.fleet.as_ref()?.borrow().page())),
            _ => {
                let name = path.strip_prefix(DUTY_PREFIX)?;
                Some(self.fleet.as_ref()?.borrow().lease_page(name))
            }
        }
    }

    fn is_ready(&self) -> bool {
        self.stopping.is_none() && self.discovery.stands()
    }
}
