//! Logs why requests are refused for lack of a key or of room in a quota. No line holds a key.

use std::time::Duration;

use platform::{
    account_name,
    request_id, //
};
use policy::forward::RefusalReason;
use schema::{
    AccountName,
    DaemonName,
    TimePoint, //
};

use super::{
    arrived_request::ArrivedRequest,
    forward_log::millis,
    forward_loop::ForwardLoop,
    pending_request::PendingRequest,
    request_access::AccessRefusal, //
};
use crate::{
    events,
    log_event, //
};

impl ForwardLoop {
    /// Logs the refusal of a request that is not let in, within the rate limit.
    pub(super) fn log_no_access(
        &mut self,
        now: TimePoint,
        arrived: &ArrivedRequest,
        refusal: AccessRefusal,
    ) {
        if !self.log.take_key_permit(now) {
            return;
        }
        let logger = &self.log.logger;
        let head = &arrived.head;
        let relay = arrived.relayed.as_ref();
        let relayed_by = relay.map(|relay| relay.daemon.as_str());
        let table = self.table_version().0;
        let AccessRefusal::Key(fault) = refusal else {
            let account = account_name(&head.headers).flatten();
            log_event!(
                logger, events::ACCOUNT_UNKNOWN,
                "relayed_by" => relayed_by, "account" => account.as_ref().map(AccountName::as_str),
                "table" => table, "sender_table" => relay.map(|relay| relay.table.0),
            );
            return;
        };
        let host = arrived.host();
        let index = self.route_index.as_ref();
        let route = index.and_then(|index| {
            let route = index.find(host, head.uri.path())?;
            Some(index.table.routes[route].name.as_str())
        });
        let id = request_id(&head.headers).and_then(|id| id.to_str().ok());
        log_event!(
            logger, events::KEY_REFUSED,
            "request" => id.unwrap_or(""), "reason" => fault.as_str(), "route" => route,
            "host" => host, "path" => head.uri.path(), "caller" => %arrived.caller(),
            "relayed_by" => relayed_by, "table" => table,
            "directory_age_ms" => self.feed.age(now).map(millis),
        );
    }

    /// Logs the refusal of a request for the sake of its account, within the rate limit; does nothing for
    /// other reasons.
    pub(super) fn log_account_refusal(
        &mut self,
        now: TimePoint,
        request: &PendingRequest,
        refused: Option<(RefusalReason, Duration)>,
    ) {
        let Some((reason @ (RefusalReason::Quota | RefusalReason::KeyRevoked), retry_after)) =
            refused
        else {
            return;
        };
        if !self.log.take_permit(now, true) {
            return;
        }
        let logger = &self.log.logger;
        let id = request.template.id.to_str().unwrap_or("?");
        let account = request.access.account_name().map(AccountName::as_str);
        let table = self.table_version().0;
        if reason == RefusalReason::KeyRevoked {
            log_event!(
                logger, events::KEY_REVOKED,
                "request" => id, "account" => account, "route" => %request.route,
                "age_ms" => millis(now.since(request.arrived_at)), "table" => table,
                "relayed_by" => request.relayed_by.as_ref().map(DaemonName::as_str),
            );
            return;
        }
        let account_spec = request.access.account.as_ref();
        let quota = account_spec.and_then(|account| account.quota);
        log_event!(
            logger, events::QUOTA_REFUSED,
            "request" => id, "account" => account, "route" => %request.route,
            "rate" => quota.map(|quota| quota.per_second), "burst" => quota.map(|quota| quota.burst),
            "retry_after_ms" => millis(retry_after), "table" => table,
            "directory_age_ms" => self.feed.age(now).map(millis),
        );
    }
}
