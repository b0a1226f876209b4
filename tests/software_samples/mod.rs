//! Sample services, targets and daemons of the tests on software versions.
#![allow(dead_code)]

use std::time::Duration;

use pistachiowick::gateway::fleet::TargetsByService;
use pistachiowick::gateway::members::{DaemonRecord, InstanceCapacity};
use pistachiowick::gateway::model::TargetRecord;
use pistachiowick::gateway::software::starts::StreamStart;
use pistachiowick::names::{CentreName, DaemonId, MonoTime, ServiceName, SoftwareVersion};

use crate::gateway_samples::target;

pub const PERIOD: Duration = Duration::from_secs(30);
pub const START: MonoTime = MonoTime(100_000);

pub fn service() -> ServiceName {
    ServiceName::from("engines")
}

pub fn at(seconds: f64) -> MonoTime {
    START.plus(Duration::from_secs_f64(seconds))
}

pub fn start(software: &str, began: MonoTime) -> StreamStart {
    StreamStart {
        service: service(),
        software: SoftwareVersion::from(software),
        began,
    }
}

pub fn targets(versions: &[&str]) -> TargetsByService {
    let numbered = versions.iter().enumerate();
    let records = numbered.map(|(number, version)| {
        let record = TargetRecord {
            service: service(),
            software: SoftwareVersion::from(*version),
            ..target(&format!("e{number}"), "127.0.0.1:9")
        };
        record.into()
    });
    [(service(), records.collect())].into_iter().collect()
}

pub fn daemon(number: usize, centres: usize) -> DaemonRecord {
    DaemonRecord {
        id: DaemonId::from(format!("node-{number:03}")),
        incarnation: 1,
        callers: ([127, 0, 0, 1], 1).into(),
        peers: ([127, 0, 0, 1], 2).into(),
        handovers: Some(([127, 0, 0, 1], 3).into()),
        centre: CentreName::from(format!("c{}", number % centres)),
        leaving: false,
        capacity: InstanceCapacity::default(),
    }
}
