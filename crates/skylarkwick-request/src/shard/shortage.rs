//! What the servers of a pool lack within one decision.

use std::{collections::BTreeMap, sync::Arc};

use skylarkwick_version::resources::Resources;

use crate::job::Step;

/// Requirements that no usable server of a pool could meet earlier in a
/// decision, in which they only fill up. Steps that need at least as much are
/// skipped.
#[derive(Clone, Debug, Default)]
pub(super) struct Shortage {
    /// Resources that no usable server with this label has; `None` stands for
    /// any server.
    unavailable: BTreeMap<Option<Arc<str>>, Vec<Resources>>,
}

impl Shortage {
    /// Returns whether no server can be found for the tasks of a step.
    pub(super) fn covers(&self, step: &Step) -> bool {
        let required = step.reservation().resources();
        let is_short = |label: &Option<Arc<str>>| {
            let known = self.unavailable.get(label);
            known.is_some_and(|known| known.iter().any(|less| less.fits_within(&required)))
        };
        is_short(&None) || is_short(&step.required_label)
    }

    /// Adds a step for which no usable server with its required label has
    /// enough resources.
    pub(super) fn add(&mut self, step: &Step) {
        let label = step.required_label.clone();
        self.unavailable.entry(label).or_default().push(step.reservation().resources());
    }
}
