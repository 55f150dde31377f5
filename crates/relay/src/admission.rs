//! Checks of a request before it is sent to a replica: head, route, key, body and quota, in this order.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Request, Response,
    header::{self, HOST},
    request,
};
use http_body::Body;
use tokio::time::{Instant, timeout_at};
use verbenahead_manifest::{Route, RouteTable, RoutedWorkspace};
use verbenahead_membership::NameKey;
use verbenahead_policy::{PromptBlocks, hash::hash_bytes};

use crate::{
    body_reader::{MAX_DRAINED, ReadBody, drain},
    dialect::{CallerRequest, CallerRequestId, PromptShape},
    exchange::{Exchange, Progress},
    fingerprint::Fingerprint,
    memory_budget::{MemoryAccount, MemoryReservation},
    own_answer::{OwnAnswer, OwnAnswerReason},
    relay::Relay,
    request_content::RequestContent,
    response_body::ResponseBody,
    shared_quotas::QuotaRefusal,
    workspace_quotas::QuotaCharge,
};

impl Relay {
    /// Relays one request of a caller and returns the response. The body is read once the route and the key
    /// of the request are known.
    pub async fn handle<B>(self: &Arc<Self>, req: Request<B>) -> Response<ResponseBody>
    where
        B: Body<Data = Bytes> + Send + Unpin + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let arrived = Instant::now();
        let (head, mut body) = req.into_parts();
        let account = self.memory.account_of(&head.extensions);
        let routes = self.wait_for_routes().await;
        let caller = match self.dialect.read_request(&head) {
            Ok(caller) => caller,
            Err(error) => {
                tracing::info!(%error, "request refused");
                self.observer.own_answer(OwnAnswerReason::InvalidRequest);
                drain(body, &head.headers, account, MAX_DRAINED);
                let id = CallerRequestId("".into());
                return self.own_response(&id, OwnAnswer::new(OwnAnswerReason::InvalidRequest));
            }
        };
        let admitted = async {
            let routes = routes.ok_or_else(|| self.not_ready())?;
            let target = self.find_target(&routes, &head, &caller)?;
            account.set_known(target.workspace.as_deref().map(workspace_key));
            let head_memory = self.reserve_head(&account, &head.headers)?;
            let deadline = arrived + self.timeout_of(&caller, &target.route);
            let limit = routes.limits().max_body;
            let admitted = async {
                let mut body = self.read_body(&mut body, &account, limit, deadline).await?;
                body.reservation.merge(head_memory);
                // The routes may have changed while the body arrived.
                let (routes, target) = match self.routes() {
                    Some(now) if now.generation() != routes.generation() => {
                        let target = self.find_target(&now, &head, &caller)?;
                        (now, target)
                    }
                    _ => (routes, target),
                };
                self.admit(&routes, &head, target, caller.clone(), body, arrived)
                    .await
            };
            tokio::select! {
                biased;
                () = self.drain.wait_refused(deadline) => Err(self.stopping()),
                admitted = admitted => admitted,
            }
        };
        match admitted.await {
            Ok(exchange) => exchange.run().await,
            Err(own) => {
                self.observer.own_answer(own.reason);
                tracing::info!(
                    request = %caller.id,
                    outcome = %own.reason,
                    retry_after_ms = own.retry_after.map(|delay| delay.as_millis() as u64),
                    generation = self.routes().map(|routes| routes.generation().0),
                    "request refused",
                );
                drain(body, &head.headers, account, MAX_DRAINED);
                self.own_response(&caller.id, own)
            }
        }
    }

    /// Returns the refusal of a request that cannot end before the node does.
    pub(crate) fn stopping(&self) -> OwnAnswer {
        OwnAnswer::retry_after(OwnAnswerReason::NodeStops, self.options.not_ready_delay)
    }

    /// Reserves memory for a head of very many fields. Those of ordinary heads are in the cost of a
    /// connection.
    fn reserve_head(
        &self,
        account: &MemoryAccount,
        headers: &HeaderMap,
    ) -> Result<MemoryReservation, OwnAnswer> {
        let mut reservation = account.reservation();
        let extra = headers.len().saturating_sub(ORDINARY_FIELDS);
        if extra > 0 && !reservation.try_grow(extra * FIELD_BYTES) {
            let delay = self.options.not_ready_delay;
            return Err(OwnAnswer::retry_after(OwnAnswerReason::NoMemory, delay));
        }
        Ok(reservation)
    }

    fn timeout_of(&self, caller: &CallerRequest, route: &Route) -> Duration {
        let timeout = caller.timeout.unwrap_or(self.options.default_timeout);
        timeout.min(route.timeout)
    }

    /// Finds the route and the workspace of a request.
    fn find_target(
        &self,
        routes: &RouteTable,
        head: &request::Parts,
        caller: &CallerRequest,
    ) -> Result<RequestTarget, OwnAnswer> {
        let found = find_route(routes, head).and_then(|route| {
            let workspace = find_workspace(routes, &route, caller)?;
            Ok(RequestTarget { route, workspace })
        });
        found.map_err(|own| self.not_found(own))
    }

    /// Returns the routes in force. A node that has just started waits for its first routes.
    async fn wait_for_routes(&self) -> Option<Arc<RouteTable>> {
        let until = self.started + self.options.first_routes_wait;
        if self.routes().is_none() {
            let mut routes = self.routes.clone();
            // Both a timeout and a closed channel leave no routes, and the request is refused.
            let _ = timeout_at(until, routes.wait_for(Option::is_some)).await;
        }
        self.routes()
    }

    /// Checks the content and quota of a request whose body was read.
    async fn admit(
        self: &Arc<Self>,
        routes: &RouteTable,
        head: &request::Parts,
        target: RequestTarget,
        caller: CallerRequest,
        body: ReadBody,
        arrived: Instant,
    ) -> Result<Exchange, OwnAnswer> {
        let RequestTarget { route, workspace } = target;
        let target = route.target(rand::random());
        let Some(target) = target else {
            return Err(OwnAnswer::retry_after(
                OwnAnswerReason::NoReplica,
                self.options.no_replica_delay,
            ));
        };
        let workspace_id = workspace.as_ref().map(|workspace| &workspace.id);
        let prompt = caller.prompt.as_ref();
        let fingerprint =
            Fingerprint::of(&head.method, &head.uri, workspace_id, &body.data, prompt);
        let content = RequestContent::new(&target.service, fingerprint, caller.shared_parts());
        // Comes before the quota, which sound requests of the workspace need.
        self.check_quarantine(&caller.id, &content)?;
        let version = self
            .version_to_resume(&route, &target.service, &caller, workspace.as_deref())
            .await?;
        let blocks = caller.prompt.as_ref().map(prompt_blocks);
        let quota_charge = self
            .charge_quota(routes, workspace.as_deref(), &caller, fingerprint)
            .await?;
        self.usage_tracker.on_request(&target.service);
        let timeout = self.timeout_of(&caller, &route);
        Ok(Exchange {
            relay: Arc::clone(self),
            method: head.method.clone(),
            uri: head.uri.clone(),
            headers: head.headers.clone(),
            body: body.data,
            memory: body.reservation,
            service: target.service.clone(),
            workspace,
            arrived,
            deadline: arrived + timeout,
            supports_move: routes.supports_move(&target.service),
            route,
            caller,
            content,
            blocks,
            generation: routes.generation(),
            progress: Progress {
                quota_charge,
                version,
                ..Progress::default()
            },
        })
    }

    /// Returns the refusal of a request with an unknown route or key. If the routes of the node may
    /// be out of date, the caller is asked to retry, since another node may know the route or key.
    fn not_found(&self, own: OwnAnswer) -> OwnAnswer {
        match self.has_stale_routes() {
            true => {
                OwnAnswer::retry_after(OwnAnswerReason::StaleRoutes, self.options.not_ready_delay)
            }
            false => own,
        }
    }

    async fn charge_quota(
        &self,
        routes: &RouteTable,
        workspace: Option<&RoutedWorkspace>,
        caller: &CallerRequest,
        fingerprint: Fingerprint,
    ) -> Result<Option<QuotaCharge>, OwnAnswer> {
        let Some(workspace) = workspace else {
            return Ok(None);
        };
        let size = caller.prompt.as_ref().map(PromptShape::total);
        // A caller returns with another id, but with the same fingerprint.
        let key = NameKey(fingerprint.0 as u32);
        let charged = self.quotas.charge(routes, workspace, size, key).await;
        charged.map_err(|refusal| {
            let units = size.map(|size| size.0);
            let nodes_known = self.usage_tracker.nodes().known;
            match refusal {
                QuotaRefusal::UsedUp(wait) => {
                    tracing::info!(
                        request = %caller.id,
                        workspace = %workspace.id,
                        units,
                        wait_ms = wait.as_millis() as u64,
                        nodes_known,
                        "quota used up",
                    );
                    OwnAnswer::retry_after(OwnAnswerReason::QuotaUsedUp, wait)
                }
                QuotaRefusal::NoCollector => {
                    tracing::info!(
                        request = %caller.id,
                        workspace = %workspace.id,
                        units,
                        nodes_known,
                        "quota without a collector",
                    );
                    let delay = self.options.not_ready_delay;
                    OwnAnswer::retry_after(OwnAnswerReason::QuotaUnknown, delay)
                }
            }
        })
    }

    fn not_ready(&self) -> OwnAnswer {
        OwnAnswer::retry_after(OwnAnswerReason::NoRoutes, self.options.not_ready_delay)
    }

    /// Builds the HTTP response for an answer that the node generates itself.
    pub(crate) fn own_response(
        &self,
        id: &CallerRequestId,
        own: OwnAnswer,
    ) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::whole(own.body()));
        *response.status_mut() = own.reason.status();
        *response.headers_mut() = own.headers();
        self.dialect.mark_own_answer(id, response.headers_mut());
        self.set_connection_header(response.headers_mut());
        response
    }

    /// Asks the caller to close its connection while the node drains.
    pub(crate) fn set_connection_header(&self, headers: &mut HeaderMap) {
        if self.is_draining() {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }

    /// Returns the retry delay sent to callers that the node cannot serve yet.
    pub fn not_ready_delay(&self) -> Duration {
        self.options.not_ready_delay
    }
}

/// `RequestTarget` is where a request goes and for whom.
struct RequestTarget {
    route: Arc<Route>,
    /// Workspace of the caller, unless the route needs no key.
    workspace: Option<Arc<RoutedWorkspace>>,
}

/// Number of header fields whose memory is in the cost of a connection.
const ORDINARY_FIELDS: usize = 32;

/// Memory of a header field beyond its text: the entries in the head of the request and in that of the
/// request to the replica, with their indices.
const FIELD_BYTES: usize = 256;

fn workspace_key(workspace: &RoutedWorkspace) -> u64 {
    hash_bytes(0, workspace.id.as_str().as_bytes())
}

/// Returns the blocks of the parts that other prompts may share.
fn prompt_blocks(prompt: &PromptShape) -> PromptBlocks {
    let parts = prompt.shared_parts().iter();
    let parts = parts.map(|part| (part.id, part.tokens));
    PromptBlocks::from_parts(prompt.model, parts, prompt.prompt)
}

fn find_route(routes: &RouteTable, head: &request::Parts) -> Result<Arc<Route>, OwnAnswer> {
    let host_header = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = head.uri.host().or(host_header).unwrap_or_default();
    let route = routes.route(host, head.uri.path());
    route
        .cloned()
        .ok_or_else(|| OwnAnswer::new(OwnAnswerReason::UnknownRoute))
}

fn find_workspace(
    routes: &RouteTable,
    route: &Route,
    caller: &CallerRequest,
) -> Result<Option<Arc<RoutedWorkspace>>, OwnAnswer> {
    if route.allows_anonymous || !routes.has_workspaces() {
        return Ok(None);
    }
    let key = caller.key.as_ref();
    let workspace = key.and_then(|key| routes.workspace_of_key(key));
    match workspace {
        Some(workspace) => Ok(Some(Arc::clone(workspace))),
        None => Err(OwnAnswer::new(OwnAnswerReason::UnknownKey)),
    }
}
