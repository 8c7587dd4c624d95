//! Client of the platform's VM list.

use std::time::Duration;

use http::{
    Method,
    StatusCode, //
};
use schema::platform::VmList;

use super::{
    http_client::{
        parse_answer,
        status_error,
        HttpClient, //
    },
    StoreError, //
};

/// Reads the VM list.
#[derive(Clone, Debug)]
pub struct VmClient {
    http: HttpClient,
    call_timeout: Duration,
}

impl VmClient {
    /// Creates a client of the list at `url` with `call_timeout` for each call.
    ///
    /// # Errors
    ///
    /// [`StoreError::BadUrl`].
    pub fn new(url: &str, call_timeout: Duration) -> Result<Self, StoreError> {
        Ok(Self {
            http: HttpClient::new(url, call_timeout)?,
            call_timeout,
        })
    }

    /// Reads the list. Returns `None` where it has not changed since revision `after`.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where there is no valid answer.
    pub async fn read(&self, after: u64) -> Result<Option<VmList>, StoreError> {
        let path = format!("?after={after}");
        let answer = self
            .http
            .send(Method::GET, &path, Vec::new(), self.call_timeout);
        match answer.await? {
            (StatusCode::OK, body) => parse_answer(&body).map(Some),
            (StatusCode::NOT_MODIFIED, _) => Ok(None),
            (other, _) => Err(status_error(other)),
        }
    }
}
