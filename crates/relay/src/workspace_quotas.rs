//! Quotas of workspaces, charged for the requests of their callers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::sleep;
use verbenahead_core::{HashMap, units::Tokens};
use verbenahead_manifest::{RouteTable, RoutedWorkspace};
use verbenahead_membership::{GrantRequest, NameKey};
use verbenahead_policy::Timestamp;

use crate::shared_quotas::{QuotaRefusal, SharedQuotas};

/// `WorkspaceQuotasOptions` sets which requests wait for their grant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspaceQuotasOptions {
    /// Longest delay that a caller's request is held for a quota that is used up, instead of being
    /// refused.
    pub max_hold: Duration,
    /// Size up to which a request is admitted before its grant, as a part of the burst. So many of
    /// them are needed to use up the quota that the answers to the first ones stop the later ones.
    pub unasked_request: f64,
}

impl Default for WorkspaceQuotasOptions {
    fn default() -> Self {
        Self {
            max_hold: Duration::from_millis(100),
            unasked_request: 0.002,
        }
    }
}

/// `QuotaCharge` is the amount charged for one request to the quota of its workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaCharge {
    workspace: NameKey,
    units: Tokens,
    /// Address of the node that granted the units, unless this node did.
    granted_by: Option<SocketAddr>,
}

/// `WorkspaceQuotas` charges requests to the quotas of their workspaces.
pub struct WorkspaceQuotas {
    options: WorkspaceQuotasOptions,
    shared: Arc<SharedQuotas>,
    /// Workspaces whose requests are refused without asking, until the given time.
    used_up_until: Mutex<HashMap<NameKey, Timestamp>>,
}

impl WorkspaceQuotas {
    /// Builds quotas whose grants come from `shared`.
    pub fn new(options: WorkspaceQuotasOptions, shared: Arc<SharedQuotas>) -> Self {
        Self {
            options,
            shared,
            used_up_until: Mutex::default(),
        }
    }

    /// Charges a request of `size` to the quota of its workspace. Returns `None` if the workspace
    /// has no quota.
    ///
    /// # Errors
    ///
    /// When the quota is used up or no collector answers.
    pub async fn charge(
        self: &Arc<Self>,
        routes: &RouteTable,
        workspace: &RoutedWorkspace,
        size: Option<Tokens>,
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
        };
        if !self.shared.wait_listed().await {
            return Err(QuotaRefusal::NoCollector);
        }
        let now = self.shared.now();
        let used_up_until = self.lock().get(&request.quota).copied();
        if let Some(until) = used_up_until.filter(|until| *until > now) {
            return Err(QuotaRefusal::UsedUp(until.since(now)));
        }
        let is_unasked = request.units.0 as f64 <= quota.burst * self.options.unasked_request;
        if is_unasked && self.shared.has_other_collector(request.quota) {
            let quotas = Arc::clone(self);
            tokio::spawn(async move { quotas.request_late(request).await });
            // Its units are not known to be granted, so they are not returned either.
            let units = Tokens(0);
            return Ok(Some(
                self.charge_of(&GrantRequest { units, ..request }, None),
            ));
        }
        let mut granted = self.shared.grant(request).await;
        if let Err(QuotaRefusal::UsedUp(wait)) = granted
            && wait <= self.options.max_hold
        {
            sleep(wait).await;
            granted = self.shared.grant(request).await;
        }
        granted.map(|granted_by| Some(self.charge_of(&request, granted_by)))
    }

    /// Returns the units of a request that did not run.
    pub fn refund(&self, charge: &QuotaCharge) {
        self.shared
            .refund(charge.workspace, charge.units, charge.granted_by);
    }

    fn charge_of(&self, request: &GrantRequest, granted_by: Option<SocketAddr>) -> QuotaCharge {
        QuotaCharge {
            workspace: request.quota,
            units: request.units,
            granted_by,
        }
    }

    /// Gets the grant for a request that was admitted before. If the quota is used up, the next
    /// requests of the workspace are refused until it allows them.
    async fn request_late(&self, request: GrantRequest) {
        if let Err(QuotaRefusal::UsedUp(wait)) = self.shared.grant(request).await {
            let now = self.shared.now();
            let mut used_up_until = self.lock();
            used_up_until.retain(|_, until| *until > now);
            used_up_until.insert(request.quota, now.plus(wait));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NameKey, Timestamp>> {
        self.used_up_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
