"""Stay of a stopping instance that counts as ready until it yields."""

from collections import Counter

import anyio

from almonddeal.announced.entry_states import STOPPING, YIELDED
from almonddeal.roles.last_ready import OwnStop, decide_stay
from almonddeal_common.clock import monotonic_ms, wall_ms
from almonddeal_common.logs import decide, get_logger

CHECK_INTERVAL_S = 0.02

log = get_logger("entry")


async def stay_ready(own_state, get_control_silence_ms, bounds):
    """Report the stop and return once this instance has yielded, and reported that.

    Parameters
    ----------
    own_state : OwnEntryState
    get_control_silence_ms : callable
        Returns the time since control was heard last, in ms.
    bounds : StayBounds
    """
    started_ms = monotonic_ms()
    stopped_ms = wall_ms()
    own_state.report(STOPPING, stopped_ms)
    is_last = False
    while True:
        since_ms = monotonic_ms() - started_ms
        own = OwnStop(own_state.instance, stopped_ms, since_ms, is_last)
        others = own_state.others()
        decision = decide_stay(own, others, get_control_silence_ms(), bounds)
        if decision.is_last and not is_last:
            decide(
                log,
                "stopping instance stays ready, it is the last one",
                instance=own_state.instance,
                n_others_by_state=_count(others),
                until_ms=decision.until_ms,
            )
        is_last = decision.is_last
        if not decision.is_ready:
            break
        with anyio.move_on_after(CHECK_INTERVAL_S):
            await own_state.states.wait()
    own_state.report(YIELDED, stopped_ms)
    decide(
        log,
        "stopping instance is no longer ready",
        reason=decision.reason,
        after_ms=round(since_ms),
        n_others_by_state=_count(others),
    )


def _count(others):
    return dict(Counter(other.state for other in others))
