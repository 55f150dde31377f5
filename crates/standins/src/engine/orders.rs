//! Orders and the state that they ask for.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use verbenahead_core::{FencingNumber, Generation};
use verbenahead_upstream::{Order, OrderKind};

const FIRST_VERSION: &str = "1";
const FIRST_ROLE: &str = "serve";

/// `EngineRoleState` is what the engine is at present. It answers `GET /v1/state`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRoleState {
    /// Versions of the loaded models by name.
    pub models: BTreeMap<String, String>,
    /// Versions of the models that are being loaded by name.
    pub loading: BTreeMap<String, String>,
    /// Name of the role.
    pub role: String,
    /// Highest fencing number of an order.
    pub fencing: FencingNumber,
    /// Generation of the last order.
    pub generation: Generation,
}

impl EngineRoleState {
    pub(super) fn new(models: &[String]) -> Self {
        let models = models.iter();
        Self {
            models: models
                .map(|model| (model.clone(), FIRST_VERSION.to_owned()))
                .collect(),
            loading: BTreeMap::new(),
            role: FIRST_ROLE.to_owned(),
            fencing: FencingNumber::default(),
            generation: Generation::default(),
        }
    }

    /// Carries out an order. Returns the highest known fencing number when that refuses it.
    pub(super) fn apply(&mut self, order: &Order, is_checking: bool) -> Result<(), FencingNumber> {
        if is_checking && order.fencing < self.fencing {
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

    /// Ends the load of a model, unless a later order asked for another version.
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
