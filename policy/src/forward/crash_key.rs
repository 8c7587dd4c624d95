//! By what crashes are counted against a request.

use schema::{
    CrashSite,
    QueryPrint, //
};

/// The fingerprint under which crashes are counted, and where the request is to run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CrashKey {
    /// Fingerprint of the request, with or without its caller.
    pub print: QueryPrint,
    /// The form of the request and the service.
    pub site: CrashSite,
}
