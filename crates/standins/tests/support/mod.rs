//! Fixtures shared by the tests.

#![allow(dead_code, reason = "each test file uses only some of the fixtures")]

use std::{net::SocketAddr, time::Duration};

use anyhow::Result;
use bytes::Bytes;
use verbenahead_core::{AvailabilityZone, Incarnation, ServiceId, VmId};
use verbenahead_services::{
    Condition, HttpPlatform, HttpPlatformOptions, Market, Mutation, RowKey, TableName, Write,
};
use verbenahead_standins::{
    JsonClient, Server,
    platform::{self, PlatformFaults, PlatformStandinOptions},
    registration::Registration,
};

/// Table to which the tests write.
pub const TABLE: TableName = TableName("rows");

/// Time limit of calls that are expected to time out.
pub const SHORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit of calls that must succeed on a busy machine.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// Builds the registration of an upstream that does not register itself with a platform.
pub fn registration(vm: &str) -> Result<Registration> {
    Ok(Registration {
        platform: None,
        advertise: None,
        vm: VmId::try_new(vm)?,
        incarnation: Incarnation(1),
        service: ServiceId::try_new("chat")?,
        zone: AvailabilityZone::try_new("a")?,
        class: "small".to_owned(),
        market: Market::Reclaimable,
    })
}

/// Starts a platform stand-in without faults.
pub async fn start_platform() -> Result<Server> {
    Ok(platform::start(PlatformStandinOptions::default()).await?)
}

/// Sets the faults of a platform stand-in.
pub async fn set_faults(platform: SocketAddr, faults: &PlatformFaults) -> Result<()> {
    let client = JsonClient::new(platform);
    client.put("/control/faults", faults).await
}

/// Builds an adapter whose calls time out after `call_timeout`.
pub fn adapter(address: SocketAddr, call_timeout: Duration) -> Result<HttpPlatform> {
    Ok(HttpPlatform::try_new(HttpPlatformOptions {
        address,
        connect_timeout: call_timeout / 2,
        call_timeout,
        ..HttpPlatformOptions::default()
    })?)
}

/// Builds the key of a row in [`TABLE`].
pub fn row_key(key: &str) -> RowKey {
    RowKey::new(TABLE, key)
}

/// Builds a write that puts a value into a row of [`TABLE`].
pub fn put(key: &str, condition: Condition, value: &'static str) -> Write {
    Write {
        key: row_key(key),
        condition,
        mutation: Mutation::Put(Bytes::from_static(value.as_bytes())),
    }
}
