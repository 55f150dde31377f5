//! Quotas of workspaces, charged for the requests of their callers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use tokio::time::sleep;
use verbenahead_core::{HashMap, units::Tokens};
use verbenahead_manifest::{RouteTable, RoutedWorkspace};
use verbenahead_membership::{GrantRequest, NameKey};
use verbenahead_policy::{QuotaTolerance, UnaskedOptions, UnaskedRequests};

use crate::shared_quotas::{QuotaRefusal, SharedQuotas, limit_of};

/// `WorkspaceQuotasOptions` sets which requests wait for their grant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspaceQuotasOptions {
    /// Longest delay that a caller's request is held for a quota that is used up, instead of being
    /// refused.
    pub max_hold: Duration,
    /// Requests that are admitted before their grant.
    pub unasked: UnaskedOptions,
}

impl Default for WorkspaceQuotasOptions {
    fn default() -> Self {
        Self {
            max_hold: Duration::from_millis(100),
            unasked: UnaskedOptions::default(),
        }
    }
}

impl WorkspaceQuotasOptions {
    /// Returns options for quotas that may be exceeded by `tolerance`.
    pub fn new(tolerance: QuotaTolerance) -> Self {
        let mut options = Self::default();
        options.unasked.tolerance = tolerance;
        options
    }
}

/// `QuotaCharge` is the amount charged for one request to the quota of its workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaCharge {
    request: GrantRequest,
    /// Address of the node that granted the units, or `None` if this node did. It is not set while a
    /// request that was admitted before has no grant.
    granted_by: Arc<OnceLock<Option<SocketAddr>>>,
}

/// `WorkspaceQuotas` charges requests to the quotas of their workspaces.
pub struct WorkspaceQuotas {
    options: WorkspaceQuotasOptions,
    shared: Arc<SharedQuotas>,
    /// Requests that were admitted before their grant.
    unasked: Mutex<HashMap<NameKey, UnaskedRequests>>,
}

impl WorkspaceQuotas {
    /// Builds quotas whose grants come from `shared`.
    pub fn new(options: WorkspaceQuotasOptions, shared: Arc<SharedQuotas>) -> Self {
        Self {
            options,
            shared,
            unasked: Mutex::default(),
        }
    }

    /// Charges a request of `size` to the quota of its workspace. Returns `None` if the workspace
    /// has no quota. `caller` is the key by which
    /// the request is recognised when its caller returns.
    ///
    /// # Errors
    ///
    /// When the quota is used up or no collector answers.
    pub async fn charge(
        self: &Arc<Self>,
        routes: &RouteTable,
        workspace: &RoutedWorkspace,
        size: Option<Tokens>,
        caller: NameKey,
    ) -> Result<Option<QuotaCharge>, QuotaRefusal> {
        let Some(quota) = &workspace.quota else {
            return Ok(None);
        };
        let request = GrantRequest {
            quota: NameKey::from(&workspace.id),
            units: Tokens(quota.cost(size)),
            rate: quota.rate,
            burst: quota.burst,
            generation: routes.generation(),
            is_admitted: false,
            caller: Some(caller),
        };
        if !self.shared.wait_listed().await {
            return Err(QuotaRefusal::NoCollector);
        }
        if self.try_admit(&request) {
            return Ok(Some(self.admit_unasked(request)));
        }
        let mut granted = self.shared.grant(request).await;
        if let Err(QuotaRefusal::UsedUp(wait)) = granted
            && wait <= self.options.max_hold
        {
            sleep(wait).await;
            granted = self.shared.grant(request).await;
        }
        if let Err(QuotaRefusal::UsedUp(_)) = granted {
            let now = self.shared.now();
            self.update(request.quota, |unasked| {
                unasked.on_refusal(&self.options.unasked, now);
            });
        }
        granted.map(|granted_by| {
            Some(QuotaCharge {
                request,
                granted_by: Arc::new(OnceLock::from(granted_by)),
            })
        })
    }

    /// Charges another run of a request whose earlier run may have begun. The run has been sent, so it is
    /// charged whether or not the quota is used up.
    pub fn charge_repeat(&self, charge: &QuotaCharge) {
        let shared = Arc::clone(&self.shared);
        let request = GrantRequest {
            is_admitted: true,
            ..charge.request
        };
        tokio::spawn(async move {
            if let Err(QuotaRefusal::NoCollector) = shared.grant(request).await {
                tracing::debug!(quota = %request.quota, "repeated run not charged");
            }
        });
    }

    /// Returns the units of a request that did not run. They are not returned while it is unknown which
    /// node took them.
    pub fn refund(&self, charge: &QuotaCharge) {
        if let Some(granted_by) = charge.granted_by.get() {
            let request = &charge.request;
            self.shared
                .refund(request.quota, request.units, *granted_by);
        }
    }

    /// Returns whether a request is admitted before its grant.
    fn try_admit(&self, request: &GrantRequest) -> bool {
        if !self.shared.has_other_collector(request.quota) {
            return false;
        }
        let (now, nodes) = (self.shared.now(), self.shared.node_count());
        let (units, limit) = (request.units.0 as f64, limit_of(request));
        let options = &self.options.unasked;
        self.update(request.quota, |unasked| {
            unasked.try_admit(units, &limit, nodes, options, now)
        })
    }

    fn admit_unasked(self: &Arc<Self>, request: GrantRequest) -> QuotaCharge {
        let charge = QuotaCharge {
            request: GrantRequest {
                is_admitted: true,
                ..request
            },
            granted_by: Arc::default(),
        };
        tokio::spawn(Arc::clone(self).settle(charge.clone()));
        charge
    }

    /// Gets the grant for a request that was admitted before. If the quota is used up, the next requests of
    /// the workspace ask first for some time.
    async fn settle(self: Arc<Self>, charge: QuotaCharge) {
        let granted = self.shared.grant(charge.request).await;
        let options = &self.options.unasked;
        match granted {
            Ok(granted_by) => {
                // Nothing else sets it.
                let _ = charge.granted_by.set(granted_by);
            }
            Err(QuotaRefusal::UsedUp(_)) => {
                let now = self.shared.now();
                self.update(charge.request.quota, |unasked| {
                    unasked.on_refusal(options, now);
                });
            }
            // The request is not charged, so that no other may take its place in the same window.
            Err(QuotaRefusal::NoCollector) => sleep(options.tolerance.window).await,
        }
        let units = charge.request.units.0 as f64;
        self.update(charge.request.quota, |unasked| unasked.settle(units));
    }

    /// Updates what is known of a quota, and forgets quotas of which nothing is known any more.
    fn update<T>(&self, quota: NameKey, change: impl FnOnce(&mut UnaskedRequests) -> T) -> T {
        let now = self.shared.now();
        let mut quotas = self.lock();
        let unasked = quotas.entry(quota).or_default();
        let changed = change(unasked);
        if unasked.is_idle(now) {
            quotas.remove(&quota);
        }
        changed
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NameKey, UnaskedRequests>> {
        self.unasked.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
