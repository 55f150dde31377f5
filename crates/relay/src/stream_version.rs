//! The software version at which a stream may go on.

use verbenahead_core::ServiceId;
use verbenahead_manifest::{Route, RoutedWorkspace};
use verbenahead_membership::{NameKey, StreamKey};

use crate::{
    dialect::CallerRequest,
    exchange::Exchange,
    open_streams::OpenStream,
    own_answer::{OwnAnswer, OwnAnswerReason},
    relay::Relay,
    stream_origins::{NotRead, Origin, stream_key},
    upstream::UpstreamEntry,
};

impl Relay {
    /// Returns the key of the version at which a stream that the caller takes up has to go on, or
    /// `None` if the caller takes none up.
    ///
    /// # Errors
    ///
    /// When the version is not known, or no replica has it any more.
    pub(crate) async fn version_to_resume(
        &self,
        route: &Route,
        service: &ServiceId,
        caller: &CallerRequest,
        workspace: Option<&RoutedWorkspace>,
    ) -> Result<Option<NameKey>, OwnAnswer> {
        if caller.resume_after.is_none() || !route.retry_safety.is_stream() {
            return Ok(None);
        }
        if self.registry.live(service).is_empty() {
            // A node that has just started has no replicas yet.
            tracing::info!(request = %caller.id, %service, "no replica to take a stream up");
            return Err(self.retry_later(OwnAnswerReason::NoReplica));
        }
        let version = self.origin(route, service, caller, workspace).await?;
        let has_version = |entry: &UpstreamEntry| entry.version_key() == Some(version);
        if self.registry.live(service).iter().any(|e| has_version(e)) {
            if let Some(stream) = resumed_stream(caller, workspace) {
                self.origins.record_open(OpenStream {
                    stream,
                    version,
                    service: service.clone(),
                    period: route.timeout,
                });
            }
            return Ok(Some(version));
        }
        let was_seen = self
            .registry
            .recent_versions(service, route.timeout)
            .contains(&version);
        tracing::info!(
            request = %caller.id,
            resumes = caller.resumes.as_ref().map(|id| &*id.0),
            %service,
            was_seen,
            "no replica has the version that began the stream",
        );
        match was_seen {
            true => Err(OwnAnswer::new(OwnAnswerReason::VersionGone)),
            // Other nodes know replicas that this one has not heard of yet.
            false => Err(self.retry_later(OwnAnswerReason::VersionGone)),
        }
    }

    /// Returns the key of the only version at which a stream of the route can have begun, if there is only
    /// one.
    async fn sole_version(&self, route: &Route, service: &ServiceId) -> Option<NameKey> {
        let sole = || self.registry.sole_version(service, route.timeout);
        if let Some(version) = sole() {
            return Some(version);
        }
        self.registry
            .wait_for_versions(self.options.version_history_wait)
            .await;
        sole()
    }

    fn retry_later(&self, reason: OwnAnswerReason) -> OwnAnswer {
        OwnAnswer::retry_after(reason, self.options.no_replica_delay)
    }

    /// Returns the key of the version at which a stream began.
    ///
    /// The nodes that may know it are asked first. This node may know one version only because it has no news
    /// of others, so that version is assumed only if one of those nodes answers or the table is read now.
    async fn origin(
        &self,
        route: &Route,
        service: &ServiceId,
        caller: &CallerRequest,
        workspace: Option<&RoutedWorkspace>,
    ) -> Result<NameKey, OwnAnswer> {
        let stream = resumed_stream(caller, workspace);
        let found = match stream {
            Some(stream) => self.origins.ask(stream).await,
            None => Origin::Unknown,
        };
        let sole = match found {
            Origin::Version(version) => return Ok(version),
            Origin::Unknown | Origin::Unanswered => self.sole_version(route, service).await,
        };
        if let (Origin::Unknown, Some(version)) = (found, sole) {
            return Ok(version);
        }
        let mut is_final = self.registry.is_history_read();
        if let Some(stream) = stream {
            match (self.origins.find_saved(stream).await, sole) {
                (Ok(Some(version)), _) | (Ok(None), Some(version)) => return Ok(version),
                (Ok(None), None) => {}
                (Err(NotRead), _) => is_final = false,
            }
        }
        tracing::info!(
            request = %caller.id,
            resumes = caller.resumes.as_ref().map(|id| &*id.0),
            is_final,
            is_answered = found != Origin::Unanswered,
            "version that began the stream is not known",
        );
        match is_final {
            true => Err(OwnAnswer::new(OwnAnswerReason::OriginUnknown)),
            false => Err(self.retry_later(OwnAnswerReason::OriginUnknown)),
        }
    }
}

/// Returns the key of the stream that a caller takes up, if it names one.
fn resumed_stream(
    caller: &CallerRequest,
    workspace: Option<&RoutedWorkspace>,
) -> Option<StreamKey> {
    let workspace = workspace.map(|workspace| &workspace.id);
    let resumes = caller.resumes.as_ref();
    resumes.map(|id| stream_key(workspace, id))
}

impl Exchange {
    /// Binds the stream to the version of the replica that begins it, and lets other nodes know, so that
    /// the caller can take the stream up there.
    pub(crate) fn begin_at(&mut self, upstream: &UpstreamEntry) {
        self.bind_to(upstream);
        let is_first = self.caller.resume_after.is_none();
        if let Some(version) = self.progress.version
            && is_first
            && self.route.retry_safety.is_repeatable()
        {
            let workspace = self.workspace.as_ref().map(|workspace| &workspace.id);
            let stream = stream_key(workspace, &self.caller.id);
            self.relay.origins.record(OpenStream {
                stream,
                version,
                service: upstream.service.clone(),
                period: self.route.timeout,
            });
        }
    }

    /// Binds the stream to the version of a replica, unless it is bound already.
    pub(crate) fn bind_to(&mut self, upstream: &UpstreamEntry) {
        if self.progress.version.is_none() {
            self.progress.version = upstream.version_key();
        }
    }

    /// Returns whether the version of a replica allows the stream to go on there.
    pub(crate) fn allows_version_of(&self, upstream: &UpstreamEntry) -> bool {
        let version = self.progress.version;
        version.is_none_or(|version| upstream.version_key() == Some(version))
    }
}
