//! Applies endpoint lists in the JSON format of discovery to the endpoint table and the policy.

use std::rc::Rc;

use pinefront_policy::{EndpointLocation, ListedEndpoint, Micros};
use pinefront_settings::fields::{flag, list, number, text, unsigned};
use serde_json::Value;
use slog::{info, warn};

use crate::discovery::endpoint_update::stated_address;
use crate::discovery::list_error::ListError;
use crate::discovery::partial_list::{PartialEntry, PartialList};
use crate::discovery::polling_schedule::ListSummary;
use crate::discovery::start_times::StartTimes;
use crate::state::address_claims::StatedAddress;
use crate::state::proxy::Proxy;

impl Proxy {
    /// Applies the list of the configuration file unless it was applied before. It is needed as the
    /// base of the changes that follow, or as the only list there is.
    pub fn apply_cached_list(&mut self) {
        let Some(list) = self.state.borrow_mut().discovery.cached_list.take() else {
            return;
        };
        let applied = self.apply_entries(&list);
        let mut state = self.state.borrow_mut();
        match applied {
            Ok(_) => state.discovery.is_cached_list_applied = true,
            Err(error) => warn!(state.log, "cached endpoint list malformed"; "error" => %error),
        }
    }

    /// Applies a complete list or a list of changes.
    ///
    /// # Errors
    ///
    /// Fails when the list lacks its version, its entries or its completeness flag. A malformed
    /// entry is not an error: its endpoint gets no new requests.
    pub fn apply_list(&mut self, list: &Value) -> Result<ListSummary, ListError> {
        self.apply_cached_list();
        let summary = self.apply_entries(list)?;
        let mut state = self.state.borrow_mut();
        state.counters.list_updates += 1;
        info!(state.log, "endpoint list received"; "version" => summary.version,
            "complete" => summary.is_complete, "has_entries" => summary.has_entries);
        Ok(summary)
    }

    fn apply_entries(&mut self, document: &Value) -> Result<ListSummary, ListError> {
        let version = unsigned(document, "rev")?;
        let now = self.state.borrow().now();
        let entries = list(document, "targets")?;
        let is_complete = flag(document, "all")?;
        let stays_usable = self.balancer.settings().unlisted_stay_usable;
        let mut state = self.state.borrow_mut();
        state.begin_endpoint_list(now, is_complete, stays_usable);
        drop(state);
        self.balancer.endpoint_list_started(now, is_complete);
        let start_times = self.state.borrow_mut().start_times(now, entries);
        for entry in entries {
            if let Err(error) = self.apply_entry(now, entry, start_times) {
                // The other entries are applied despite a malformed one.
                warn!(self.state.borrow().log, "endpoint list entry malformed"; "error" => %error);
                if let Ok(id) = text(entry, "uid") {
                    self.mark_draining(now, id, stated_address(entry).ok());
                }
            }
        }
        let replaced = self.state.borrow_mut().end_endpoint_list();
        self.report_replaced_endpoints(&replaced);
        self.balancer.endpoint_list_ended(now);
        self.remove_departed_endpoints();
        self.state.borrow_mut().discovery.last_list_at = now;
        Ok(ListSummary {
            version,
            is_complete,
            has_entries: !entries.is_empty(),
        })
    }

    fn report_replaced_endpoints(&mut self, ids: &[Rc<str>]) {
        for id in ids {
            self.balancer.endpoint_replaced(id);
        }
    }

    /// Deletes the endpoints that can't be used any more.
    pub fn remove_departed_endpoints(&mut self) {
        let is_usable = |id: &str| self.balancer.is_endpoint_usable(id);
        self.state.borrow_mut().remove_departed_endpoints(is_usable);
    }

    fn apply_entry(
        &mut self,
        now: Micros,
        entry: &Value,
        start_times: StartTimes,
    ) -> Result<(), ListError> {
        let id = text(entry, "uid")?;
        // A drain or a removal holds even if the address can't be read.
        let stated = stated_address(entry);
        match text(entry, "state")? {
            "active" => self.apply_active_entry(id, entry, stated?, start_times)?,
            "leaving" => self.mark_draining(now, id, stated.ok()),
            "left" => self.mark_removed(now, id, stated.ok()),
            other => return Err(ListError::UnknownState(other.to_owned())),
        }
        Ok(())
    }

    fn apply_active_entry(
        &mut self,
        id: &str,
        entry: &Value,
        stated: StatedAddress,
        start_times: StartTimes,
    ) -> Result<(), ListError> {
        let (cell, weight) = (
            unsigned(entry, "pod_group")?,
            number(entry, "capacity_hint")?,
        );
        let (zone, machine_type) = (text(entry, "az")?, text(entry, "model")?);
        let mut state = self.state.borrow_mut();
        let zone = state.config.zone(zone);
        let machine_type = state.config.machine_type(machine_type);
        let location = EndpointLocation { zone, cell };
        if !state.endpoint_active(id, stated, location) {
            return Ok(());
        }
        let started_at = state.started_at(id, stated.stated_start, start_times);
        drop(state);
        self.balancer.endpoint_listed(ListedEndpoint {
            id,
            zone,
            machine_type,
            cell,
            weight,
            started_at,
        });
        Ok(())
    }

    /// Marks an endpoint as draining, so that it gets no new requests.
    fn mark_draining(&mut self, now: Micros, id: &str, stated: Option<StatedAddress>) {
        self.state.borrow_mut().endpoint_draining(id, stated, now);
        self.balancer.endpoint_draining(id);
    }

    /// Marks an endpoint as removed from the list.
    fn mark_removed(&mut self, now: Micros, id: &str, stated: Option<StatedAddress>) {
        let stays_usable = self.balancer.settings().unlisted_stay_usable;
        self.state
            .borrow_mut()
            .endpoint_removed(id, stated, now, stays_usable);
        self.balancer.endpoint_removed(now, id);
    }

    /// Applies the removals and drains of an incomplete response, as they count as delivered
    /// whether or not the rest arrives. Additions are applied with the complete response only. An
    /// entry that is truncated before its state is most likely a drain, so its endpoint gets no new
    /// requests either until the complete response is received.
    pub fn apply_partial_list(&mut self, partial: &PartialList, requested_changes: bool) {
        self.apply_partial_addresses(partial);
        let departing = self.departing_entries(partial, requested_changes);
        if departing.is_empty() {
            return;
        }
        let now = self.state.borrow().now();
        self.balancer.endpoint_list_started(now, false);
        for entry in &departing {
            match entry.state.as_deref() {
                Some("left") => self.mark_removed(now, &entry.id, None),
                _ => self.mark_draining(now, &entry.id, None),
            }
        }
        self.balancer.endpoint_list_ended(now);
        let mut state = self.state.borrow_mut();
        // An endpoint whose state was truncated may become active again, so its record is kept.
        for entry in departing.iter().filter(|entry| entry.state.is_some()) {
            state.remove_if_draining(&entry.id);
        }
        state.counters.list_updates_partial += 1;
        info!(state.log, "partial endpoint list received"; "version" => partial.version,
            "draining" => departing.len());
    }

    /// Ends the use of endpoints whose address the received entries state for another endpoint.
    fn apply_partial_addresses(&mut self, partial: &PartialList) {
        let mut replaced = Vec::new();
        for entry in &partial.entries {
            if let Some(address) = entry.address
                && entry.state.as_deref() != Some("left")
            {
                let mut state = self.state.borrow_mut();
                replaced.extend(state.replace_other_holders(&entry.id, address));
            }
        }
        self.report_replaced_endpoints(&replaced);
    }

    /// Returns the entries of known endpoints that are draining or were removed.
    fn departing_entries<'a>(
        &self,
        partial: &'a PartialList,
        requested_changes: bool,
    ) -> Vec<&'a PartialEntry> {
        let has_changes_only = partial
            .is_complete
            .map_or(requested_changes, |is_complete| !is_complete);
        let departs = |entry: &PartialEntry| match entry.state.as_deref() {
            Some(state) => matches!(state, "leaving" | "left"),
            None => has_changes_only,
        };
        let state = self.state.borrow();
        let is_known = |entry: &PartialEntry| state.endpoints.key_of(&entry.id).is_some();
        let entries = partial.entries.iter();
        entries
            .filter(|entry| departs(entry) && is_known(entry))
            .collect()
    }
}
