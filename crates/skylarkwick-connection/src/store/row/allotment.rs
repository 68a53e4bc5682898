//! Row of the parts of a workspace's quota that the shards of a site may use.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use skylarkwick_version::{
    allotment::{Allotment, Allotments},
    resources::Resources,
    sharding::ShardId,
};

/// Row of one workspace's allotments, by the number of the shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllotmentRow {
    shards: BTreeMap<u32, Entry>,
}

/// Stored form of an [`Allotment`]; resources are millicores, memory in MiB and accelerators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    granted: [u64; 3],
    wanted: [u64; 3],
    unit: [u64; 3],
    since_ms: u64,
}

impl From<&Allotments> for AllotmentRow {
    fn from(allotments: &Allotments) -> AllotmentRow {
        let entry = |(shard, allotment): (&ShardId, &Allotment)| {
            let Allotment { granted, wanted, unit, since_ms } = *allotment;
            let [granted, wanted, unit] = [granted, wanted, unit].map(|part| part.components());
            (shard.0, Entry { granted, wanted, unit, since_ms })
        };
        AllotmentRow { shards: allotments.iter().map(entry).collect() }
    }
}

impl From<AllotmentRow> for Allotments {
    fn from(row: AllotmentRow) -> Allotments {
        let allotment = |(shard, entry): (u32, Entry)| {
            let [granted, wanted, unit] =
                [entry.granted, entry.wanted, entry.unit].map(Resources::from_components);
            (ShardId(shard), Allotment { granted, wanted, unit, since_ms: entry.since_ms })
        };
        row.shards.into_iter().map(allotment).collect()
    }
}
