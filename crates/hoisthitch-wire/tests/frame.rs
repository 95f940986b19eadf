//! Tests of frames: decoding returns the encoded frame and never panics on other
//! bytes, and a delta leads from its base to the new version only.

use std::net::SocketAddr;

use hoisthitch_core::{
    AssignmentState,
    HallRecord,
    PaidPriority,
    PolicyTable,
    TeamRow,
    VmAssignment, //
};
use hoisthitch_wire::{
    HEADER_BYTES,
    HallDelta,
    Heartbeat,
    MAX_BODY_BYTES,
    MeshFrame,
    PROTOCOL_VERSION,
    PoolDemand,
    TableDelta,
    WireError,
    decode_frame,
    decode_header,
    encode_frame, //
};
use quickcheck::quickcheck;

fn heartbeat(table: u64, demands: &[(u32, u32)]) -> MeshFrame {
    let demands = demands
        .iter()
        .map(|(pool, slots)| PoolDemand {
            pool: *pool,
            slots: *slots,
        })
        .collect();
    MeshFrame::Heartbeat(Heartbeat {
        table,
        demands,
        ..Heartbeat::default()
    })
}

fn table(revision: u64, teams: &[(u8, u32)]) -> PolicyTable {
    let mut table = PolicyTable {
        revision,
        ..PolicyTable::default()
    };
    for (name, weight) in teams {
        let name = format!("team-{name:03}");
        table.teams.retain(|row| row.name != name);
        table.teams.push(TeamRow {
            name,
            revision: u64::from(*weight),
            priority: PaidPriority::Urgent,
            weight: *weight,
            rate_limit: 1,
            in_flight_limit: 1,
        });
    }
    table.teams.sort_by(|a, b| a.name.cmp(&b.name));
    table
}

fn hall(version: u64, vms: &[(u8, u8)]) -> HallRecord {
    let mut record = HallRecord::new("athens");
    record.version = version;
    for (vm, pool) in vms {
        // The second assignment of the same VM is refused.
        let _ = record.assign(VmAssignment {
            vm: format!("vm-{vm:03}"),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
            rack: "rack-0".to_owned(),
            pool: format!("pool-{pool:03}"),
            state: AssignmentState::Serving,
            task: None,
            fence: 0,
            last_wave: String::new(),
        });
    }
    record
}

quickcheck! {
    fn any_bytes_are_read_or_refused(bytes: Vec<u8>) -> bool {
        let _ = decode_frame(&bytes);
        true
    }

    fn any_header_is_read_or_refused(version: u8, length: u32) -> bool {
        let [a, b, c, d] = length.to_le_bytes();
        match decode_header([version, a, b, c, d]) {
            Ok(read) => version == PROTOCOL_VERSION && read <= MAX_BODY_BYTES,
            Err(WireError::Version { found, .. }) => found != PROTOCOL_VERSION,
            Err(WireError::TooLong { length, .. }) => length > MAX_BODY_BYTES,
            Err(_) => false,
        }
    }

    fn encoded_frame_comes_back(table: u64, demands: Vec<(u32, u32)>) -> bool {
        let frame = heartbeat(table, &demands);
        let bytes = encode_frame(&frame).unwrap();
        decode_frame(&bytes[HEADER_BYTES..]).unwrap() == frame
    }

    fn damaged_frame_is_read_or_refused(demands: Vec<(u32, u32)>, at: usize, mask: u8) -> bool {
        let mut bytes = encode_frame(&heartbeat(7, &demands)).unwrap();
        let body = &mut bytes[HEADER_BYTES..];
        let at = at % body.len();
        body[at] ^= mask;
        let _ = decode_frame(body);
        true
    }

    fn delta_leads_from_one_table_to_the_other(old: Vec<(u8, u32)>, new: Vec<(u8, u32)>) -> bool {
        let old = table(1, &old);
        let new = table(2, &new);
        let applied = TableDelta::between(&old, &new).apply_to(&old).unwrap();
        applied.teams == new.teams && applied.revision == new.revision
    }

    fn delta_leads_from_one_hall_record_to_the_other(old: Vec<(u8, u8)>, new: Vec<(u8, u8)>) -> bool {
        let old = hall(1, &old);
        let new = hall(3, &new);
        let applied = HallDelta::between(&old, &new).apply_to(&old).unwrap();
        let other = hall(2, &[]);
        let void = HallDelta::between(&old, &new).apply_to(&other).is_none();
        applied.vms == new.vms && applied.version == new.version && void
    }

    fn delta_from_another_revision_is_not_applied(revision: u64) -> bool {
        let delta = TableDelta::between(&table(1, &[]), &table(2, &[]));
        let other = table(revision, &[]);
        delta.apply_to(&other).is_some() == (revision == 1)
    }
}
