//! The client of the platform's VM list.

use std::time::Duration;

use http::{
    Method,
    StatusCode, //
};
use schema::platform::VmList;

use super::{
    http_call::{
        parse_answer,
        status_error,
        HttpCall, //
    },
    StoreError, //
};

/// Reads the VM list.
#[derive(Clone, Debug)]
pub struct VmClient {
    http: HttpCall,
    patience: Duration,
}

impl VmClient {
    /// A client of the list at `url`, each of whose calls waits for at most `patience`.
    ///
    /// # Errors
    ///
    /// [`StoreError::BadUrl`].
    pub fn new(url: &str, patience: Duration) -> Result<Self, StoreError> {
        Ok(Self {
            http: HttpCall::new(url, patience)?,
            patience,
        })
    }

    /// The list, or `None` where it has not changed since revision `after`.
    ///
    /// # Errors
    ///
    /// A [`StoreError`] where there is no answer, or none that parses.
    pub async fn read(&self, after: u64) -> Result<Option<VmList>, StoreError> {
        let path = format!("?after={after}");
        let answer = self
            .http
            .send(Method::GET, &path, Vec::new(), self.patience);
        match answer.await? {
            (StatusCode::OK, body) => parse_answer(&body).map(Some),
            (StatusCode::NOT_MODIFIED, _) => Ok(None),
            (other, _) => Err(status_error(other)),
        }
    }
}
