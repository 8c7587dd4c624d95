//! Service groups and the division of their keys into shards.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use crate::{
    bundle,
    GroupName,
    GroupPolicy,
    KeySpan,
    SchemaError,
    ShardPlan,
    SpanSet,
    KEY_SPACE, //
};

/// Which replicas receive the sub-queries of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GroupMode {
    /// One replica of every shard.
    Scatter,
    /// One replica of the group.
    Single,
}

/// A service group: shards whose replicas all have the same capacity.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupSpec {
    /// Name of the group, unique in the bundle.
    pub name: GroupName,
    /// Which replicas receive the sub-queries of a request.
    pub mode: GroupMode,
    /// Whether requests are not idempotent, so that they must run at most once.
    pub once: bool,
    /// Shards in key order, without gaps or overlaps; together they cover the whole key space.
    pub shards: Vec<ShardPlan>,
    /// Number of replicas of each shard.
    pub replicas: u32,
    /// Requests that a replica runs concurrently.
    pub slots: u32,
    /// Connections that a replica accepts, from all daemons together.
    pub connections: u32,
    /// Time that it takes to open a connection.
    pub connect: Duration,
    /// Settings for coverage, latency and load.
    pub policy: GroupPolicy,
}

impl GroupSpec {
    /// Validates the protobuf message and converts it.
    ///
    /// # Errors
    ///
    /// [`SchemaError::BadField`] with a path that starts with `field`.
    pub fn from_spec(field: &str, spec: &bundle::GroupSpec) -> Result<Self, SchemaError> {
        let path = |name: &str| format!("{field}.{name}");
        let name = spec
            .name
            .parse()
            .map_err(|error: SchemaError| error.at(&path("name"), &spec.name))?;
        let mode = match spec.mode.as_str() {
            "scatter" => GroupMode::Scatter,
            "single" => GroupMode::Single,
            other => {
                return Err(SchemaError::bad_field(
                    path("mode"),
                    other,
                    "scatter or single",
                ))
            }
        };
        if spec.once && mode == GroupMode::Scatter {
            return Err(SchemaError::bad_field(
                path("once"),
                "true",
                "false in a scatter group",
            ));
        }
        for (name, value) in [
            ("replicas", spec.replicas),
            ("slots", spec.slots),
            ("connections", spec.connections),
        ] {
            if value == 0 {
                return Err(SchemaError::bad_field(path(name), 0, "at least 1"));
            }
        }
        let policy = spec.policy.unwrap_or_default();
        Ok(Self {
            name,
            mode,
            once: spec.once,
            shards: shards(field, spec, mode)?,
            replicas: spec.replicas,
            slots: spec.slots,
            connections: spec.connections,
            connect: Duration::from_micros(spec.connect_us.into()),
            policy: GroupPolicy::from_spec(&path("policy"), &policy)?,
        })
    }
}

fn shards(
    field: &str,
    spec: &bundle::GroupSpec,
    mode: GroupMode,
) -> Result<Vec<ShardPlan>, SchemaError> {
    if spec.shards.is_empty() {
        return equal_shards(field, spec.shard_count, mode);
    }
    let mut plans = Vec::with_capacity(spec.shards.len());
    let mut covered = SpanSet::default();
    let mut names = BTreeSet::new();
    for (index, shard) in spec.shards.iter().enumerate() {
        let at = |name: &str| format!("{field}.shards[{index}].{name}");
        let name = shard
            .name
            .parse()
            .map_err(|error: SchemaError| error.at(&at("name"), &shard.name))?;
        let span = KeySpan::new(shard.start, shard.end)
            .map_err(|error| error.at(&at("start"), &format!("{}..{}", shard.start, shard.end)))?;
        if !covered.intersection(&span.into()).is_empty() {
            return Err(SchemaError::bad_field(
                at("start"),
                span,
                "a range that does not overlap another shard",
            ));
        }
        if !names.insert(shard.name.as_str()) {
            return Err(SchemaError::bad_field(at("name"), name, "a unique name"));
        }
        covered.insert(span);
        plans.push(ShardPlan { name, span });
    }
    if covered != SpanSet::all() {
        let missing = covered.complement();
        return Err(SchemaError::bad_field(
            format!("{field}.shards"),
            missing,
            "shards that cover the whole key space",
        ));
    }
    plans.sort_by_key(|plan| plan.span);
    Ok(plans)
}

fn equal_shards(field: &str, count: u32, mode: GroupMode) -> Result<Vec<ShardPlan>, SchemaError> {
    let count = if mode == GroupMode::Single && count == 0 {
        1
    } else {
        count
    };
    if count == 0 || count > KEY_SPACE {
        return Err(SchemaError::bad_field(
            format!("{field}.shard_count"),
            count,
            "1 to 65536",
        ));
    }
    if mode == GroupMode::Single && count != 1 {
        return Err(SchemaError::bad_field(
            format!("{field}.shard_count"),
            count,
            "1 in a single group",
        ));
    }
    let boundary = |index: u32| (u64::from(KEY_SPACE) * u64::from(index) / u64::from(count)) as u32;
    (0..count)
        .map(|index| {
            Ok(ShardPlan {
                name: index.to_string().parse()?,
                span: KeySpan::new(boundary(index), boundary(index + 1))?,
            })
        })
        .collect()
}
