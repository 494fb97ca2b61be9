//! Serves the messages of a connection and writes the responses.

use bytes::Bytes;

use super::{Connection, OpenRequest, MAX_LOGGED_BYTES, MAX_OPEN_REQUESTS};
use crate::clock;
use crate::exchange::{Answer, Request, Responder};
use crate::frontend::jsonrpc::message::{Message, Withdrawal};
use crate::frontend::jsonrpc::request;
use crate::frontend::jsonrpc::response::{write_health, write_outcome, ErrorCode, ErrorResponse, RpcError};
use crate::log;

impl Connection {
    pub(super) fn respond_with_error(&mut self, response: &ErrorResponse, line: &[u8]) {
        let RpcError { code, message } = response.error;
        let start = line[..line.len().min(MAX_LOGGED_BYTES)].escape_ascii();
        log!("jsonrpc: message rejected: code={} error={message:?} line={start}", code as i32);
        response.write(&mut self.output);
        // A client that was served before may already use a class that this node learns at its next reload.
        let may_be_early = matches!(code, ErrorCode::MethodNotFound | ErrorCode::InvalidParams);
        if !(self.is_proven && may_be_early) {
            self.consecutive_errors += 1;
        }
    }

    /// Serves one line: a health check, a withdrawal or a request.
    pub(super) async fn process_line(&mut self, line: &Bytes) -> Result<(), ErrorResponse> {
        let Message { id, method, params } = Message::decode(line)?;
        match &method[..] {
            "status" => {
                self.is_proven = true;
                if let Some(id) = id {
                    let healthy = self.status.borrow().healthy();
                    write_health(&mut self.output, &id, healthy);
                }
                Ok(())
            }
            "withdraw" => {
                let withdrawal =
                    Withdrawal::decode(params).map_err(|error| error.in_reply_to(id.as_ref()))?;
                self.withdraw(&withdrawal).await;
                Ok(())
            }
            class => self.process_request(id, class, params).await,
        }
    }

    async fn process_request(
        &mut self,
        id: Option<Bytes>,
        class: &str,
        params: &str,
    ) -> Result<(), ErrorResponse> {
        let Some(class) = self.registry.class_id(class, clock::now()) else {
            let error = RpcError { code: ErrorCode::MethodNotFound, message: "no such method" };
            return Err(error.in_reply_to(id.as_ref()));
        };
        // A result can't be returned without an id, so nothing is run, and the client gets an error with a
        // null id.
        let Some(id) = id else {
            return Err(RpcError::invalid_request("a request has an id").without_id());
        };
        if self.open.values().any(|open| open.id == id) {
            return Err(RpcError::invalid_request("the id is in use").without_id());
        }
        let request = request::decode(&self.registry, class, params);
        let request = request.map_err(|error| error.in_reply_to(Some(&id)))?;
        self.submit(id, request).await
    }

    /// Submits a request, unless its client no longer waits for the response.
    async fn submit(&mut self, id: Bytes, request: Request) -> Result<(), ErrorResponse> {
        if self.client_has_left {
            return Ok(());
        }
        let tag = self.next_tag;
        self.next_tag = tag.next();
        let responder = Responder::new(&self.answers, tag);
        let Some(responder) = responder.filter(|_| self.open.len() < MAX_OPEN_REQUESTS) else {
            return Err(RpcError::invalid_request("32 requests are open here").in_reply_to(Some(&id)));
        };
        self.is_proven = true;
        let submission = self.exchange.submit(request, responder).await;
        // Copied, as the id must not keep the line that it was read in.
        let id = Bytes::copy_from_slice(&id);
        self.open.insert(tag, OpenRequest { id, submission });
        Ok(())
    }

    async fn withdraw(&mut self, withdrawal: &Withdrawal<'_>) {
        let named = |open: &OpenRequest| withdrawal.names(&open.id, open.submission.txn.as_bytes());
        // A request that got its response in the meantime is no longer open.
        let Some(tag) = self.open.iter().find(|(_, open)| named(open)).map(|(tag, _)| *tag) else { return };
        if let Some(open) = self.open.remove(&tag) {
            self.exchange.cancelled(open.submission).await;
        }
    }

    /// Writes the response to a request.
    pub(super) fn respond(&mut self, answer: &Answer) {
        // A request that was withdrawn in the meantime gets no response.
        let Some(open) = self.open.remove(&answer.tag) else { return };
        self.last_used = clock::now();
        write_outcome(&mut self.output, &open.id, &answer.outcome);
    }
}
