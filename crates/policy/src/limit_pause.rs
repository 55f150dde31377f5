//! Pause of a node after it was refused a request to an upstream with a limit.

use std::time::Duration;

use rand::Rng;
use verbenahead_core::units::RequestRate;

/// Lower bound of a limit. A few requests find out whether a limit of zero has ended.
pub const MIN_LIMIT: RequestRate = RequestRate(0.1);

/// Upper bound of the pause.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Returns how long a node leaves an upstream with a limit alone after its share was refused. `wait` is
/// the time until the limit allows the next request of any node, and `nodes` the number of nodes.
///
/// The pauses of all nodes together lead to about four requests for each one that the limit allows. So
/// the limit is used, and the number of refusals does not grow with the number of nodes.
pub fn limit_pause(
    wait: Duration,
    limit: RequestRate,
    nodes: usize,
    rng: &mut impl Rng,
) -> Duration {
    let turn = nodes.max(1) as f64 / limit.0.max(MIN_LIMIT.0);
    let spread = rng.random_range(0.0..=turn / 2.0);
    wait.max(Duration::from_secs_f64(spread)).min(MAX_PAUSE)
}
