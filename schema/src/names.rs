//! Newtypes for names. Each holds validated text: not empty, of limited length, and printable ASCII
//! without spaces. Names that operators choose for regions, routes, services and client accounts may hold any
//! printable text.

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

macro_rules! define_name {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $max:literal) => {
        define_name!($(#[$doc])* $name, $kind, $max, is_graphic);
    };
    ($(#[$doc:meta])* $name:ident, $kind:literal, $max:literal, $is_allowed:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// Maximum length, in bytes.
            pub const MAX: usize = $max;

            /// Creates a name from a literal. In a constant, an empty or too long text is a compile
            /// error.
            ///
            /// # Panics
            ///
            /// If the text is empty or longer than [`Self::MAX`], outside a constant.
            pub const fn from_static(text: &'static str) -> Self {
                assert!(!text.is_empty() && text.len() <= $max);
                Self(CompactString::const_new(text))
            }

            /// The name as text.
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
                validate_text($kind, text, $max, $is_allowed)?;
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

define_name!(
    /// Name of a deployment: all daemons that share one bundle.
    DeploymentName, "deployment name", 64
);
define_name!(
    /// Name of a region, which contains data centres.
    RegionName, "region name", 64, is_printable
);
define_name!(
    /// Name of a data centre.
    ZoneName, "zone name", 64
);
define_name!(
    /// Name of a cell: the daemons of a data centre that divide the shards among themselves.
    CellName, "cell name", 64
);
define_name!(
    /// Name of a daemon, unique in the deployment.
    DaemonName, "daemon name", 64
);
define_name!(
    /// Name of a VM in the list of the platform.
    VmName, "VM name", 64
);
define_name!(
    /// Name of a service group, unique in the bundle.
    GroupName, "group name", 64
);
define_name!(
    /// Name of a shard within its group.
    ShardName, "shard name", 64
);
define_name!(
    /// Name of a holder of a key that may sign bundles.
    SignerName, "signer name", 64
);
define_name!(
    /// Name of the end user on whose behalf a caller sends a request.
    UserName, "end user", 128
);
define_name!(
    /// Id that a caller gives a request, and repeats when it sends the request again.
    RequestId, "request id", 128
);
define_name!(
    /// Idempotency key of a request that must run at most once.
    IdempotencyKey, "idempotency key", 128
);

define_name!(
    /// Name of a service: a set of interchangeable replicas to which routes lead.
    ServiceName, "service name", 200, is_printable
);
define_name!(
    /// Name of a route in the route table.
    RouteName, "route name", 200, is_printable
);
define_name!(
    /// Name of a client account, which owns API keys.
    AccountName, "account name", 200, is_printable
);
define_name!(
    /// Name of a replica in the directory. A replica that is restarted usually gets a new name.
    ReplicaName, "replica name", 200
);

fn is_graphic(character: char) -> bool {
    character.is_ascii_graphic()
}

/// Allows accents and spaces, which operators use in names.
fn is_printable(character: char) -> bool {
    !character.is_control()
}

fn validate_text(
    kind: &'static str,
    text: &str,
    max: usize,
    is_allowed: fn(char) -> bool,
) -> Result<(), SchemaError> {
    if text.is_empty() {
        return Err(SchemaError::EmptyText { kind });
    }
    if text.len() > max {
        return Err(SchemaError::LongText { kind, max });
    }
    if !text.chars().all(is_allowed) {
        return Err(SchemaError::UnprintableText { kind });
    }
    Ok(())
}
