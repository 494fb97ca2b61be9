//! Persistence and transfer of a node's replica table: storing changes on disk, sending pages as a donor, and
//! requesting and merging pages of donors.

use super::{Action, Notification, ReplicaNode, StoreSequence};
use crate::envelope::{Request, Response};
use crate::ids::NodeId;
use crate::message::{detach, Liveness, Message, Page, RejectReason};
use crate::recovery::donor::PageRequest;
use crate::recovery::state_transfer::ReceivedPage;
use crate::replication::key_state::Key;
use crate::replication::replica_table::PageRead;
use crate::{millis_ceil, Time};

impl ReplicaNode {
    /// Requests that the current record of a key is stored on disk, or removed there if the table has no
    /// entry for the key. Returns the number of the change.
    pub(super) fn store(&mut self, key: &Key, now: Time, out: &mut Vec<Action>) -> StoreSequence {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let record = self.table.stored_record(key, now);
        out.push(Action::Store { sequence, key: detach(key), record });
        sequence
    }

    /// Sends the responses that waited for a change to be stored. If the change could not be stored, grants
    /// and confirmations are replaced by negative responses, because a restart would forget them.
    pub(super) fn finish_store(&mut self, sequence: StoreSequence, stored: bool, out: &mut Vec<Action>) {
        for Response { link, message } in self.awaiting_store.remove(&sequence).unwrap_or_default() {
            let message = match message {
                Message::Granted { claim, .. } if !stored => {
                    Message::Uncertain { claim, reason: RejectReason::NotDurable }
                }
                Message::Stored { claim, .. } => Message::Stored { claim, stored },
                message => message,
            };
            self.respond(link, message, out);
        }
    }

    pub(super) fn handle_page_request(&mut self, now: Time, request: PageRequest, out: &mut Vec<Action>) {
        let PageRequest { link, round, .. } = request;
        if let Some(deferral) = self.donor.request(now, request) {
            self.metrics.transfers_deferred += 1;
            let retry_after_ms = millis_ceil(deferral);
            self.respond(link, Message::Deferred { round, retry_after_ms }, out);
        }
        self.serve_pages(now, out);
    }

    /// Sends pages to the nodes that have requested them, as far as the donor's rate limits allow.
    pub(super) fn serve_pages(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(PageRequest { link, node, round, from }) = self.donor.next_request(now) {
            let read = self.table.page(now, node, round, from.as_ref(), &self.configs);
            let PageRead { page, entries_read } = read;
            self.donor.record_sent(node, &page, entries_read);
            self.metrics.records_sent += page.records.len() as u64;
            self.respond(link, Message::Page(page), out);
        }
    }

    pub(super) fn handle_page(&mut self, now: Time, from: NodeId, page: Page, out: &mut Vec<Action>) {
        let Some(ReceivedPage { records, finished }) = self.state_transfer.receive_page(now, from, page)
        else {
            return;
        };
        self.metrics.records_received += records.len() as u64;
        let keys_to_store: Vec<Key> = if self.is_durable {
            records.iter().map(|record| record.key.clone()).collect()
        } else {
            Vec::new()
        };
        let merged = self.table.merge_records(now, records);
        self.report_conflicts(merged.conflicts, out);
        for key in keys_to_store {
            self.store(&key, now, out);
        }
        if merged.dropped {
            out.push(Action::Notify(Notification::CapacityExceeded { donor: from }));
        } else if let Some(completeness) = finished {
            self.table.record_sync(from, completeness);
            if self.table.finish_sync(&self.configs) {
                self.report_table_complete(out);
            }
        }
        self.request_pages(now, out);
    }

    /// Requests the next pages from donors that are alive.
    pub(super) fn request_pages(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut requests = Vec::new();
        let detector = &self.failure_detector;
        let table = &self.table;
        let is_alive = |node| detector.liveness(node) == Liveness::Alive;
        let incarnation_of = |node| is_alive(node).then(|| table.incarnation_of(node));
        self.state_transfer.tick(now, table.is_complete(), incarnation_of, &mut requests);
        for Request { to, message } in requests {
            self.send(to, message, out);
        }
    }

    pub(super) fn report_table_complete(&self, out: &mut Vec<Action>) {
        let keys = self.table.size().keys;
        out.push(Action::Notify(Notification::TableComplete { keys }));
    }

    /// Reports, once per incarnation, that the replica state was lost, with the longest time until the node
    /// can vote for every key again.
    pub(super) fn report_state_loss(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(complete_within) = self.table.time_until_complete(now, &self.configs) else { return };
        if !self.reported_state_loss {
            self.reported_state_loss = true;
            out.push(Action::Notify(Notification::StateLost { complete_within }));
        }
    }
}
