//! Pages about the balancer itself: health, counters and its cluster.

use bytes::Bytes;

use crate::connections::client_response::ClientResponse;
use crate::connections::request_error::RequestError;
use crate::connections::status_code::StatusCode;
use crate::state::keys::ClientKey;
use crate::state::proxy::ProxyState;

#[cfg(test)]
mod tests;

/// Path prefix of the lease pages.
const LEASE_PATH_PREFIX: &str = "/duty/";

impl ProxyState {
    /// Responds to a request for one of the balancer's own pages. Returns whether the path names
    /// such a page.
    pub fn serve_own_page(&mut self, key: ClientKey, method: &str, path: &str) -> bool {
        let Some((status, text)) = self.own_page(path) else {
            return false;
        };
        if method == "GET" {
            let mut response = ClientResponse::empty(status);
            response.body.push(Bytes::from(text));
            self.write_response(key, response);
        } else {
            self.reject(key, RequestError::MethodNotAllowed);
        }
        true
    }

    /// Returns the status and the text of a page; `None` if there is no such page.
    fn own_page(&self, path: &str) -> Option<(StatusCode, String)> {
        match path {
            "/health/ready" if self.is_ready() => Some((StatusCode::OK, "ready\n".into())),
            "/health/ready" => Some((StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into())),
            "/health/live" => Some((StatusCode::OK, "live\n".into())),
            "/stats" => Some((StatusCode::OK, self.figures())),
            "/fleet" => Some((StatusCode::OK, self.cluster.as_ref()?.borrow().fleet_page())),
            _ => {
                let name = path.strip_prefix(LEASE_PATH_PREFIX)?;
                let (status, text) = self.cluster.as_ref()?.borrow().lease_page(name);
                Some((StatusCode::new(status), text))
            }
        }
    }

    fn is_ready(&self) -> bool {
        self.shutdown_started_at.is_none() && self.discovery.has_usable_list()
    }
}
