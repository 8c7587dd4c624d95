//! Names as checked text: never empty, printable ASCII without spaces, bounded in length.

use std::{
    fmt,
    str::FromStr, //
};

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::SchemaError;

macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident, $what:literal, $max:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// Longest allowed text, in bytes.
            pub const MAX: usize = $max;

            /// The name for a constant text. A text that breaks the rules does not compile in a
            /// constant.
            pub const fn from_static(text: &'static str) -> Self {
                assert!(!text.is_empty() && text.len() <= $max);
                Self(CompactString::const_new(text))
            }

            /// The text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = SchemaError;

            fn from_str(text: &str) -> Result<Self, SchemaError> {
                check_text($what, text, $max)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = SchemaError;

            fn try_from(text: CompactString) -> Result<Self, SchemaError> {
                text.parse()
            }
        }

        impl From<$name> for CompactString {
            fn from(name: $name) -> CompactString {
                name.0
            }
        }
    };
}

text_name!(
    /// Name of a deployment.
    DeploymentName, "deployment name", 64
);
text_name!(
    /// Name of a region.
    RegionName, "region name", 64
);
text_name!(
    /// Name of a data centre.
    ZoneName, "zone name", 64
);
text_name!(
    /// Name of a cell: daemons of a zone that divide the shards among themselves.
    CellName, "cell name", 64
);
text_name!(
    /// Name of a daemon.
    DaemonName, "daemon name", 64
);
text_name!(
    /// Name of a VM.
    VmName, "VM name", 64
);
text_name!(
    /// Name of a service group.
    GroupName, "group name", 64
);
text_name!(
    /// Name of a shard within its group.
    ShardName, "shard name", 64
);
text_name!(
    /// Name of a person who signs bundles.
    SignerName, "signer name", 64
);
text_name!(
    /// Name of an end user.
    UserName, "end user", 128
);
text_name!(
    /// A caller's name for a request, equal when it is sent again.
    RequestId, "request id", 128
);
text_name!(
    /// Idempotency key of a request that may run only once.
    OnceKey, "idempotency key", 128
);

text_name!(
    /// Name of a service: interchangeable replicas behind routes.
    ServiceName, "service name", 200
);
text_name!(
    /// Name of a route.
    RouteName, "route name", 200
);
text_name!(
    /// Identity of a replica; another start mostly has another one.
    ReplicaName, "replica name", 200
);

fn check_text(what: &'static str, text: &str, max: usize) -> Result<(), SchemaError> {
    if text.is_empty() {
        return Err(SchemaError::EmptyText { what });
    }
    if text.len() > max {
        return Err(SchemaError::LongText { what, max });
    }
    if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(SchemaError::UnprintableText { what });
    }
    Ok(())
}
