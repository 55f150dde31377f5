//! Tests of VM starts, VM stops, reclaim notices, the VM list and objects through the HTTP adapter.

mod support;

use std::collections::BTreeSet;

use anyhow::Result;
use bytes::Bytes;
use futures_util::future::join_all;
use http::{HeaderMap, Method, StatusCode, header};
use support::{LONG_TIMEOUT, adapter, registration, set_faults, start_platform};
use verbenahead_core::{AvailabilityZone, Incarnation, ServiceId, VmId};
use verbenahead_services::{
    Cloud as _, Market, ObjectName, ObjectStore as _, StartOutcome, StartVm, VmList as _, VmState,
    WriteOutcome,
};
use verbenahead_standins::{
    JsonClient, Server,
    engine::{self, EngineOptions, EngineRoleState},
    platform::{self, EntryVm, PlatformFaults, PlatformStandinOptions, Reclaim, ReclaimDone},
};

const LONG_REMAINING_MS: u64 = 600_000;
const LONG_LAG_MS: u64 = 600_000;

fn start_vm(client_token: &str) -> Result<StartVm> {
    Ok(StartVm {
        client_token: client_token.to_owned(),
        service: ServiceId::try_new("chat")?,
        zone: AvailabilityZone::try_new("a")?,
        class: "small".to_owned(),
        market: Market::Reclaimable,
    })
}

async fn start_registered_engine(platform: &Server, vm: &str) -> Result<Server> {
    let mut registration = registration(vm)?;
    registration.platform = Some(platform.address());
    engine::start(EngineOptions::new(registration)).await
}

async fn reclaim(platform: &Server, req: &Reclaim) -> Result<ReclaimDone> {
    let client = JsonClient::new(platform.address());
    client.post("/control/reclaim", req).await
}

#[tokio::test]
async fn retrying_a_start_whose_response_was_lost_starts_no_second_vm() -> Result<()> {
    let platform = start_platform().await?;
    let adapter = adapter(platform.address(), LONG_TIMEOUT)?;
    let faults = PlatformFaults {
        lost_answers: 1,
        ..PlatformFaults::default()
    };
    set_faults(platform.address(), &faults).await?;
    let req = start_vm("token-1")?;

    let first = adapter.start(&req).await;
    let second = adapter.start(&req).await;
    let other = adapter.start(&start_vm("token-2")?).await;

    assert!(matches!(first, StartOutcome::Unknown(_)), "{first:?}");
    assert!(matches!(second, StartOutcome::Started(_)), "{second:?}");
    assert_ne!(second, other);
    assert_eq!(adapter.vms().await?.len(), 2);
    Ok(())
}

#[tokio::test]
async fn concurrent_starts_with_one_client_token_start_one_vm() -> Result<()> {
    let platform = start_platform().await?;
    let adapter = adapter(platform.address(), LONG_TIMEOUT)?;
    let req = start_vm("token-1")?;

    let outcomes = join_all((0..16).map(|_| adapter.start(&req))).await;

    assert!(outcomes.iter().all(|outcome| *outcome == outcomes[0]));
    assert_eq!(adapter.vms().await?.len(), 1);
    Ok(())
}

#[tokio::test]
async fn a_started_vm_runs_an_engine_until_it_is_stopped() -> Result<()> {
    let platform = platform::start(PlatformStandinOptions {
        start_engines: vec!["chat=m".parse()?],
        start_ms: 1,
        ..PlatformStandinOptions::default()
    })
    .await?;
    let adapter = adapter(platform.address(), LONG_TIMEOUT)?;
    let StartOutcome::Started(vm) = adapter.start(&start_vm("token-1")?).await else {
        anyhow::bail!("the VM was not started");
    };
    while adapter.vms().await?[0].state != VmState::Live {}
    let engine = JsonClient::new(adapter.vms().await?[0].address);

    let running: EngineRoleState = engine.get("/v1/state").await?;
    let stopped = adapter.stop(&vm, Incarnation(1)).await;

    assert!(running.models.contains_key("m"));
    assert!(matches!(stopped, WriteOutcome::Done(_)), "{stopped:?}");
    while engine.get::<EngineRoleState>("/v1/state").await.is_ok() {}
    Ok(())
}

#[tokio::test]
async fn a_refused_start_is_reported_and_starts_no_vm() -> Result<()> {
    let platform = start_platform().await?;
    let adapter = adapter(platform.address(), LONG_TIMEOUT)?;
    let earlier = adapter.start(&start_vm("token-1")?).await;
    let refuse = PlatformFaults {
        refuse_starts: true,
        ..PlatformFaults::default()
    };
    set_faults(platform.address(), &refuse).await?;

    let refused = adapter.start(&start_vm("token-2")?).await;
    let repeated = adapter.start(&start_vm("token-1")?).await;

    assert!(matches!(refused, StartOutcome::Refused(_)), "{refused:?}");
    assert_eq!(repeated, earlier);
    assert_eq!(adapter.vms().await?.len(), 1);
    Ok(())
}

#[tokio::test]
async fn a_stop_of_an_earlier_incarnation_changes_nothing() -> Result<()> {
    let platform = start_platform().await?;
    let adapter = adapter(platform.address(), LONG_TIMEOUT)?;
    let _engine = start_registered_engine(&platform, "vm-1").await?;
    let vm = VmId::try_new("vm-1")?;

    let earlier = adapter.stop(&vm, Incarnation(0)).await;
    let after_earlier = adapter.vms().await?.len();
    let present = adapter.stop(&vm, Incarnation(1)).await;
    let again = adapter.stop(&vm, Incarnation(1)).await;

    assert!(matches!(earlier, WriteOutcome::Done(_)));
    assert_eq!(after_earlier, 1);
    assert!(matches!(present, WriteOutcome::Done(_)));
    assert!(matches!(again, WriteOutcome::Done(_)));
    assert!(adapter.vms().await?.is_empty());
    Ok(())
}

#[tokio::test]
async fn a_reclaimed_zone_has_notices_for_upstreams_and_entry_vms() -> Result<()> {
    let platform = start_platform().await?;
    let adapter = adapter(platform.address(), LONG_TIMEOUT)?;
    let _engine = start_registered_engine(&platform, "vm-1").await?;
    let zone = AvailabilityZone::try_new("a")?;
    let entry = EntryVm {
        zone: zone.clone(),
        incarnation: Incarnation(7),
    };
    let client = JsonClient::new(platform.address());
    client.put("/control/entry-vms/entry-1", &entry).await?;

    let req = Reclaim {
        zone: Some(zone),
        remaining_ms: LONG_REMAINING_MS,
        ..Reclaim::default()
    };
    reclaim(&platform, &req).await?;
    let notices = adapter.notices().await?;
    let vms = adapter.vms().await?;

    let noticed_vms: BTreeSet<(&str, u64)> = notices
        .iter()
        .map(|notice| (notice.vm.as_str(), notice.incarnation.0))
        .collect();
    assert_eq!(noticed_vms, BTreeSet::from([("entry-1", 7), ("vm-1", 1)]));
    assert_eq!(vms[0].state, VmState::Leaving);
    Ok(())
}

#[tokio::test]
async fn a_reclaimed_vm_leaves_the_list_when_its_remaining_time_is_over() -> Result<()> {
    let platform = start_platform().await?;
    let adapter = adapter(platform.address(), LONG_TIMEOUT)?;
    let _engine = start_registered_engine(&platform, "vm-1").await?;

    let req = Reclaim {
        vm: Some(VmId::try_new("vm-1")?),
        remaining_ms: 0,
        ..Reclaim::default()
    };
    let done = reclaim(&platform, &req).await?;

    assert_eq!(done.vms, vec![VmId::try_new("vm-1")?]);
    assert!(adapter.notices().await?.is_empty());
    assert!(adapter.vms().await?.is_empty());
    Ok(())
}

#[tokio::test]
async fn the_vm_list_lags_but_reclaim_notices_do_not() -> Result<()> {
    let platform = platform::start(PlatformStandinOptions {
        list_lag_ms: LONG_LAG_MS,
        ..PlatformStandinOptions::default()
    })
    .await?;
    let adapter = adapter(platform.address(), LONG_TIMEOUT)?;
    let _engine = start_registered_engine(&platform, "vm-1").await?;

    let req = Reclaim {
        vm: Some(VmId::try_new("vm-1")?),
        remaining_ms: LONG_REMAINING_MS,
        ..Reclaim::default()
    };
    reclaim(&platform, &req).await?;

    assert!(adapter.vms().await?.is_empty());
    assert_eq!(adapter.notices().await?.len(), 1);
    Ok(())
}

#[tokio::test]
async fn a_list_that_changes_is_read_again() -> Result<()> {
    let platform = start_platform().await?;
    let adapter = adapter(platform.address(), LONG_TIMEOUT)?;
    let mut counts = Vec::new();
    let _first = start_registered_engine(&platform, "vm-1").await?;
    for _ in 0..2 {
        counts.push(adapter.vms().await?.len());
    }
    let _second = start_registered_engine(&platform, "vm-2").await?;

    counts.push(adapter.vms().await?.len());

    assert_eq!(counts, [1, 1, 2]);
    Ok(())
}

#[tokio::test]
async fn a_list_that_has_not_changed_is_not_sent_again() -> Result<()> {
    let platform = start_platform().await?;
    let _engine = start_registered_engine(&platform, "vm-1").await?;
    let client = JsonClient::new(platform.address());
    let first = client
        .call(Method::GET, "/v1/vms", HeaderMap::new(), "")
        .await?;
    let mut headers = HeaderMap::new();
    headers.insert(header::IF_NONE_MATCH, first.headers[header::ETAG].clone());

    let second = client.call(Method::GET, "/v1/vms", headers, "").await?;

    assert_eq!(second.status, StatusCode::NOT_MODIFIED);
    assert!(second.body.is_empty());
    Ok(())
}

#[tokio::test]
async fn an_object_is_read_as_it_was_written() -> Result<()> {
    let platform = start_platform().await?;
    let adapter = adapter(platform.address(), LONG_TIMEOUT)?;
    let name = ObjectName("manifests/sha256:ü".to_owned());
    let data = Bytes::from_static(&[0, 159, 255]);

    let missing = adapter.get(&name).await?;
    let outcome = adapter.put(&name, data.clone()).await;

    assert_eq!(missing, None);
    assert!(matches!(outcome, WriteOutcome::Done(_)), "{outcome:?}");
    assert_eq!(adapter.get(&name).await?, Some(data));
    Ok(())
}
