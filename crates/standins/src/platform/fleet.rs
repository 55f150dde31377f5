//! VMs, reclaim notices and the delayed list of VMs.

use std::{
    collections::{BTreeMap, VecDeque},
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use verbenahead_core::{AvailabilityZone, HashMap, Incarnation, VmId};
use verbenahead_services::{ReclaimNotice, StartVm, VmRecord, VmState};

use super::control_routes::EntryVm;

#[derive(Debug, Clone)]
struct Notice {
    incarnation: Incarnation,
    deadline: Instant,
}

/// `StartResult` is the outcome of a request for a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StartResult {
    /// No VM is started.
    Refused,
    /// An earlier request with the same client token started this VM.
    Repeated(VmId),
    /// A new VM is starting.
    New(VmId),
}

/// `Fleet` holds the VMs of the platform stand-in.
#[derive(Debug)]
pub(super) struct Fleet {
    list_lag: Duration,
    vms: BTreeMap<VmId, VmRecord>,
    entry_vms: BTreeMap<VmId, EntryVm>,
    notices: BTreeMap<VmId, Notice>,
    snapshots: VecDeque<(Instant, Arc<[VmRecord]>)>,
    started_by_token: HashMap<String, VmId>,
    start_count: u64,
}

impl Fleet {
    pub(super) fn new(list_lag: Duration) -> Self {
        Self {
            list_lag,
            vms: BTreeMap::new(),
            entry_vms: BTreeMap::new(),
            notices: BTreeMap::new(),
            snapshots: VecDeque::new(),
            started_by_token: HashMap::default(),
            start_count: 0,
        }
    }

    /// Adds or replaces a VM. Removes a reclaim notice of another incarnation of the VM.
    pub(super) fn register(&mut self, record: VmRecord, now: Instant) {
        self.expire(now);
        let notice = self.notices.get(&record.vm);
        if notice.is_some_and(|notice| notice.incarnation != record.incarnation) {
            self.notices.remove(&record.vm);
        }
        self.vms.insert(record.vm.clone(), record);
        self.push_snapshot(now);
    }

    /// Registers an entry VM, so that it is reclaimed with its availability zone.
    pub(super) fn register_entry(&mut self, vm: VmId, entry: EntryVm) {
        self.notices.remove(&vm);
        self.entry_vms.insert(vm, entry);
    }

    /// Starts a VM once per client token. A repeated request is never refused, whatever
    /// `refuses_starts` says.
    pub(super) fn start_once(
        &mut self,
        req: &StartVm,
        refuses_starts: bool,
        now: Instant,
    ) -> StartResult {
        if let Some(vm) = self.started_by_token.get(&req.client_token) {
            return StartResult::Repeated(vm.clone());
        }
        if refuses_starts {
            return StartResult::Refused;
        }
        StartResult::New(self.start(req.clone(), now))
    }

    fn start(&mut self, req: StartVm, now: Instant) -> VmId {
        self.start_count += 1;
        let vm = VmId::try_new(format!("started-{}", self.start_count));
        let vm = vm.expect("the name has only allowed characters");
        self.started_by_token.insert(req.client_token, vm.clone());
        let record = VmRecord {
            vm: vm.clone(),
            incarnation: Incarnation(1),
            service: req.service,
            zone: req.zone,
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            state: VmState::Starting,
            class: req.class,
            market: req.market,
        };
        self.register(record, now);
        vm
    }

    /// Sets the address of a VM and marks it live if it was starting. Returns whether the VM exists.
    pub(super) fn set_address(&mut self, vm: &VmId, address: SocketAddr, now: Instant) -> bool {
        self.expire(now);
        let Some(record) = self.vms.get_mut(vm) else {
            return false;
        };
        record.address = address;
        if record.state == VmState::Starting {
            record.state = VmState::Live;
        }
        self.push_snapshot(now);
        true
    }

    /// Returns whether a VM exists now, without the delay of the list.
    pub(super) fn contains(&mut self, vm: &VmId, now: Instant) -> bool {
        self.expire(now);
        self.vms.contains_key(vm)
    }

    /// Removes a VM if it has this incarnation.
    pub(super) fn stop(&mut self, vm: &VmId, incarnation: Incarnation, now: Instant) {
        let is_same = |record: &VmRecord| record.incarnation == incarnation;
        if self.vms.get(vm).is_some_and(is_same) {
            self.vms.remove(vm);
            self.notices.remove(vm);
            self.push_snapshot(now);
        }
    }

    /// Adds a reclaim notice for a VM. Without an incarnation, the current one is used.
    pub(super) fn reclaim(
        &mut self,
        vm: &VmId,
        incarnation: Option<Incarnation>,
        remaining: Duration,
        now: Instant,
    ) {
        self.expire(now);
        let known = self.vms.get(vm).map(|record| record.incarnation);
        let known = known.or_else(|| self.entry_vms.get(vm).map(|entry| entry.incarnation));
        let notice = Notice {
            incarnation: incarnation.or(known).unwrap_or(Incarnation(1)),
            deadline: now + remaining,
        };
        if let Some(record) = self.vms.get_mut(vm)
            && record.incarnation == notice.incarnation
        {
            record.state = VmState::Leaving;
        }
        self.notices.insert(vm.clone(), notice);
        self.push_snapshot(now);
    }

    /// Returns the VMs of an availability zone, entry VMs included.
    pub(super) fn vms_in(&self, zone: &AvailabilityZone) -> Vec<VmId> {
        let upstreams = self.vms.values().filter(|record| record.zone == *zone);
        let entries = self.entry_vms.iter().filter(|(_, vm)| vm.zone == *zone);
        upstreams
            .map(|record| record.vm.clone())
            .chain(entries.map(|(vm, _)| vm.clone()))
            .collect()
    }

    pub(super) fn notices(&mut self, now: Instant) -> Vec<ReclaimNotice> {
        self.expire(now);
        let notices = self.notices.iter();
        notices
            .map(|(vm, notice)| ReclaimNotice {
                vm: vm.clone(),
                incarnation: notice.incarnation,
                remaining: notice.deadline.saturating_duration_since(now),
            })
            .collect()
    }

    /// Returns the list of VMs as it was `list_lag` ago.
    pub(super) fn list(&mut self, now: Instant) -> Arc<[VmRecord]> {
        self.expire(now);
        let is_visible = |at: Instant| now.duration_since(at) >= self.list_lag;
        while self.snapshots.len() > 1 && is_visible(self.snapshots[1].0) {
            self.snapshots.pop_front();
        }
        match self.snapshots.front() {
            Some((at, list)) if is_visible(*at) => Arc::clone(list),
            _ => Arc::default(),
        }
    }

    /// Removes the VMs whose reclaim deadline has passed.
    fn expire(&mut self, now: Instant) {
        let due: Vec<(VmId, Notice)> = self
            .notices
            .iter()
            .filter(|(_, notice)| notice.deadline <= now)
            .map(|(vm, notice)| (vm.clone(), notice.clone()))
            .collect();
        for (vm, notice) in due {
            self.notices.remove(&vm);
            self.entry_vms.remove(&vm);
            self.stop(&vm, notice.incarnation, now);
        }
    }

    fn push_snapshot(&mut self, now: Instant) {
        let list = self.vms.values().cloned().collect();
        self.snapshots.push_back((now, list));
    }
}
