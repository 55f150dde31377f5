//! Orders to the engine and the state that they change.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use verbenahead_core::{FencingNumber, Generation};
use verbenahead_upstream::{Order, OrderKind};

const INITIAL_VERSION: &str = "1";
const INITIAL_ROLE: &str = "serve";

/// `EngineRoleState` is the role of the engine with its models. It is the body of the response to
/// `GET /v1/state`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRoleState {
    /// Versions of the loaded models, by model name.
    pub models: BTreeMap<String, String>,
    /// Versions of the models being loaded, by model name.
    pub loading: BTreeMap<String, String>,
    /// Name of the role.
    pub role: String,
    /// Highest fencing number of an accepted order.
    pub fencing: FencingNumber,
    /// Generation of the last accepted order.
    pub generation: Generation,
}

impl EngineRoleState {
    pub(super) fn new(models: &[String]) -> Self {
        let models = models.iter();
        Self {
            models: models
                .map(|model| (model.clone(), INITIAL_VERSION.to_owned()))
                .collect(),
            loading: BTreeMap::new(),
            role: INITIAL_ROLE.to_owned(),
            fencing: FencingNumber::default(),
            generation: Generation::default(),
        }
    }

    /// Applies an order.
    ///
    /// # Errors
    ///
    /// The highest fencing number seen, when fencing is checked and the order has a lower one.
    pub(super) fn apply(
        &mut self,
        order: &Order,
        check_fencing: bool,
    ) -> Result<(), FencingNumber> {
        if check_fencing && order.fencing < self.fencing {
            return Err(self.fencing);
        }
        self.fencing = self.fencing.max(order.fencing);
        self.generation = order.generation;
        match &order.kind {
            OrderKind::LoadModel { model, version } => self.begin_load(model, version),
            OrderKind::SetRole { role } => self.role.clone_from(role),
        }
        Ok(())
    }

    fn begin_load(&mut self, model: &str, version: &str) {
        if self
            .models
            .get(model)
            .is_some_and(|loaded| loaded == version)
        {
            self.loading.remove(model);
            return;
        }
        self.loading.insert(model.to_owned(), version.to_owned());
    }

    /// Completes the load of a model, unless a later order requested another version.
    pub(super) fn finish_load(&mut self, model: &str, version: &str) {
        if self
            .loading
            .get(model)
            .is_some_and(|asked| asked == version)
        {
            self.loading.remove(model);
            self.models.insert(model.to_owned(), version.to_owned());
        }
    }
}
