//! Client of the platform's store.

use std::{
    rc::Rc,
    time::Duration, //
};

use base64::{
    engine::general_purpose::STANDARD,
    Engine, //
};
use bytes::Bytes;
use http::{
    Method,
    StatusCode, //
};
use policy::store::{
    StoreCall,
    StoreReply, //
};
use schema::platform::{
    LeaseEntry,
    ValueEntry,
    WriteCall,
    WriteReply, //
};
use serde::Serialize;

use super::{
    http_client::{
        parse_answer,
        status_error,
        HttpClient, //
    },
    StoreCounts,
    StoreError, //
};

/// Calls the store over HTTP. Clones share connections and counters.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: HttpClient,
    call_timeout: Duration,
    counts: Rc<StoreCounts>,
}

impl StoreClient {
    /// Creates a client of the store at `base` with `call_timeout` for each call.
    ///
    /// # Errors
    ///
    /// [`StoreError::BadUrl`].
    pub fn new(base: &str, call_timeout: Duration) -> Result<Self, StoreError> {
        Ok(Self {
            http: HttpClient::new(base, call_timeout)?,
            call_timeout,
            counts: Rc::default(),
        })
    }

    /// Returns the counters of the calls made so far.
    pub fn counts(&self) -> &StoreCounts {
        &self.counts
    }

    /// Makes a call and converts an error to the matching reply.
    pub async fn call(&self, call: StoreCall) -> StoreReply {
        let reply = match call {
            StoreCall::Get { key } => self.get(&key).await,
            StoreCall::Write {
                key,
                value,
                expect,
                lease,
            } => self.write(&key, &value, expect, lease).await,
            StoreCall::Watch { key, after, wait } => self.watch(&key, after, wait).await,
            StoreCall::Grant { ttl } => self.grant(ttl).await,
        };
        reply.unwrap_or_else(|error| {
            self.counts.count_failure();
            match error {
                StoreError::Refused { .. } => StoreReply::Refused,
                error if error.had_no_effect() => StoreReply::Failed,
                _ => StoreReply::Indeterminate,
            }
        })
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where there is no valid answer.
    pub async fn get(&self, key: &str) -> Result<StoreReply, StoreError> {
        self.counts.count_read();
        let path = format!("/v1/kv/{key}");
        let answer = self
            .http
            .send(Method::GET, &path, Vec::new(), self.call_timeout);
        let (status, body) = answer.await?;
        match status {
            StatusCode::OK => parse_found(&body),
            StatusCode::NOT_FOUND => Ok(StoreReply::Missing),
            other => Err(status_error(other)),
        }
    }

    /// Writes a key whose current revision is `expect`; 0 creates the key.
    ///
    /// # Errors
    ///
    /// [`StoreError`], whose `had_no_effect` tells whether the write may have taken effect.
    pub async fn write(
        &self,
        key: &str,
        value: &[u8],
        expect: u64,
        lease: u64,
    ) -> Result<StoreReply, StoreError> {
        self.counts.count_write();
        let call = WriteCall {
            value: STANDARD.encode(value),
            expect,
            lease,
        };
        let path = format!("/v1/kv/{key}");
        let answer = self
            .http
            .send(Method::PUT, &path, to_json(&call)?, self.call_timeout);
        let (status, body) = answer.await?;
        match status {
            StatusCode::OK => {
                let WriteReply { revision } = parse_answer(&body)?;
                Ok(StoreReply::Written { revision })
            }
            StatusCode::CONFLICT => {
                let WriteReply { revision } = parse_answer(&body)?;
                Ok(StoreReply::Conflict { revision })
            }
            other => Err(status_error(other)),
        }
    }

    /// Waits up to `wait` for a revision of a key that is higher than `after`.
    ///
    /// # Errors
    ///
    /// Same as [`StoreClient::get`].
    pub async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<StoreReply, StoreError> {
        self.counts.count_watch();
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch/{key}?after={after}&wait_ms={wait_ms}");
        let call_timeout = self.call_timeout + wait;
        let answer = self.http.send(Method::GET, &path, Vec::new(), call_timeout);
        let (status, body) = answer.await?;
        match status {
            StatusCode::OK => parse_found(&body),
            StatusCode::NOT_MODIFIED => Ok(StoreReply::Unchanged),
            other => Err(status_error(other)),
        }
    }

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Same as [`StoreClient::get`].
    pub async fn grant(&self, ttl: Duration) -> Result<StoreReply, StoreError> {
        let call = LeaseEntry {
            lease: 0,
            ttl_ms: ttl.as_millis() as u64,
        };
        let entry = self.call_lease(Method::POST, "/v1/lease", &call).await?;
        Ok(StoreReply::Granted { lease: entry.lease })
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Same as [`StoreClient::get`], and [`StoreError::Refused`] where the lease has expired.
    pub async fn renew(&self, lease: u64) -> Result<LeaseEntry, StoreError> {
        let path = format!("/v1/lease/{lease}");
        self.call_lease(Method::PUT, &path, &LeaseEntry::default())
            .await
    }

    /// Ends a lease; the store deletes the keys that depend on it.
    ///
    /// # Errors
    ///
    /// Same as [`StoreClient::renew`].
    pub async fn revoke(&self, lease: u64) -> Result<(), StoreError> {
        self.counts.count_write();
        let path = format!("/v1/lease/{lease}");
        let answer = self
            .http
            .send(Method::DELETE, &path, Vec::new(), self.call_timeout);
        match answer.await? {
            (StatusCode::OK | StatusCode::NO_CONTENT, _) => Ok(()),
            (other, _) => Err(status_error(other)),
        }
    }

    async fn call_lease(
        &self,
        method: Method,
        path: &str,
        call: &LeaseEntry,
    ) -> Result<LeaseEntry, StoreError> {
        self.counts.count_write();
        let answer = self
            .http
            .send(method, path, to_json(call)?, self.call_timeout);
        match answer.await? {
            (StatusCode::OK, body) => parse_answer(&body),
            (other, _) => Err(status_error(other)),
        }
    }
}

fn to_json(call: &impl Serialize) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(call).map_err(|_| StoreError::Refused { status: 0 })
}

fn parse_found(body: &Bytes) -> Result<StoreReply, StoreError> {
    let entry: ValueEntry = parse_answer(body)?;
    let value = STANDARD.decode(&entry.value);
    Ok(StoreReply::Found {
        value: value.map_err(|_| StoreError::BadAnswer)?,
        revision: entry.revision,
    })
}
