"""Simulated callers of the fleet and the outcomes of their requests."""

import anyio

from almonddeal.relay.requests import AdmittedRequest, CallerRequest, Generation
from almonddeal.relay.streams import relay_stream
from almonddeal.routing.model import STREAM, Route
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import AlmonddealError
from almonddeal_tools.lab.fleet import SERVICE_NAME

TIMEOUT_MS = 25_000.0
TIMER_TOLERANCE_MS = 1.0
FIRST_EVENT_OBJECTIVE_MS = 4500.0
MAX_GAP_MS = 700.0
MAX_ATTEMPTS = 5
MAX_RETRIES = 1  # only after a response with Retry-After
MAX_RETRY_WAIT_SHARE = 1 / 3  # of the remaining time, spent waiting before the retry


def make_route(priority=1):
    """Return the route of all simulated requests."""
    return Route(
        "r",
        "h",
        "/a/",
        STREAM,
        TIMEOUT_MS,
        FIRST_EVENT_OBJECTIVE_MS,
        priority,
        {SERVICE_NAME: 1.0},
        MAX_ATTEMPTS,
        True,
        True,
        MAX_GAP_MS,
    )


class Outcome:
    """Outcome of one request as its caller observes it.

    Attributes
    ----------
    sent_s, sent_ms : float
        When the request was first sent, on the clocks of anyio and of the relay.
    first_event_ms : float or None
        Time from the first send to the first event.
    max_gap_ms : float
        Longest time between two chunks of events.
    n_refusals : int
        Errors with a Retry-After.
    is_complete : bool
        Whether the relay finished the response.
    is_in_order : bool
        Whether the event ids received count up from 1, without gap or duplicate.
    took_ms : float or None
        Time from the first send until the response ended or the caller gave up.
    """

    __slots__ = (
        "_last_event_id",
        "_last_event_ms",
        "first_event_ms",
        "is_complete",
        "is_in_order",
        "max_gap_ms",
        "n_refusals",
        "sent_ms",
        "sent_s",
        "took_ms",
    )

    def __init__(self):
        self.sent_s = anyio.current_time()
        self.sent_ms = monotonic_ms()
        self.first_event_ms = None
        self.max_gap_ms = 0.0
        self.n_refusals = 0
        self.is_complete = False
        self.is_in_order = True
        self.took_ms = None
        self._last_event_id = 0
        self._last_event_ms = None

    def record_events(self, data):
        """Record the arrival of a chunk of event-stream bytes."""
        now_ms = monotonic_ms()
        if self.first_event_ms is None:
            self.first_event_ms = now_ms - self.sent_ms
        else:
            self.max_gap_ms = max(self.max_gap_ms, now_ms - self._last_event_ms)
        self._last_event_ms = now_ms
        for line in data.split(b"\n"):
            if line.startswith(b"id:"):
                event_id = int(line[3:])
                self.is_in_order &= event_id == self._last_event_id + 1
                self._last_event_id = event_id

    def record_end(self):
        """Record the total duration."""
        self.took_ms = monotonic_ms() - self.sent_ms

    @property
    def is_on_time(self):
        """Whether the answer was complete, in order and met both latency objectives."""
        return (
            self.is_complete
            and self.is_in_order
            and self.first_event_ms <= FIRST_EVENT_OBJECTIVE_MS
            and self.max_gap_ms <= MAX_GAP_MS
        )

    @property
    def is_cut(self):
        """Whether the response ended within its stream, and before its time limit."""
        is_truncated = self.first_event_ms is not None and not self.is_complete
        return is_truncated and self.took_ms < TIMEOUT_MS - TIMER_TOLERANCE_MS

    @property
    def is_refused(self):
        """Whether the request was refused at least once and received no event."""
        return self.first_event_ms is None and self.n_refusals > 0


class _RecordingResponse:
    """Receives a response from the relay and records it in an `Outcome`."""

    __slots__ = ("_outcome",)

    def __init__(self, outcome):
        self._outcome = outcome

    async def start(self, status, headers):
        return None

    async def send(self, data):
        self._outcome.record_events(data)

    async def finish(self):
        self._outcome.is_complete = True

    async def send_response(self, status, headers, body):
        return None


async def request_answer(
    fleet,
    instance_indexes,
    request_id,
    n_prompt_tokens,
    n_output_tokens,
    outcome,
    shared_prefix_hashes=(),
):
    """Request one answer; retries after an error with a Retry-After.

    Parameters
    ----------
    fleet : LabFleet
    instance_indexes : list of int
        Instances to send the request to: the first one, then one for each retry.
    request_id : str
    n_prompt_tokens, n_output_tokens : int
    outcome : Outcome
        Updated in place.
    shared_prefix_hashes : tuple of str
    """
    for n_retries, index in enumerate(instance_indexes[: MAX_RETRIES + 1]):
        left_ms = TIMEOUT_MS - (monotonic_ms() - outcome.sent_ms)
        admitted = _make_admitted_request(
            fleet,
            f"{request_id}-{n_retries}",
            request_id.encode(),
            n_prompt_tokens,
            n_output_tokens,
            left_ms,
            shared_prefix_hashes,
        )
        try:
            await relay_stream(
                admitted, fleet.instances[index], _RecordingResponse(outcome)
            )
            break
        except AlmonddealError as error:
            if error.retry_after_ms is None:
                break
            outcome.n_refusals += 1
            await anyio.sleep(
                min(error.retry_after_ms, left_ms * MAX_RETRY_WAIT_SHARE) / 1000
            )
    outcome.record_end()


def _make_admitted_request(
    fleet,
    request_id,
    body,
    n_prompt_tokens,
    n_output_tokens,
    left_ms,
    shared_prefix_hashes,
):
    generation = Generation(
        n_prompt_tokens,
        n_output_tokens,
        request_id,
        f"part-{request_id}",
        shared_prefix_hashes,
    )
    request = CallerRequest(
        request_id,
        "POST",
        "h",
        "/a/b",
        b"/a/b",
        [],
        body,
        left_ms,
        None,
        None,
        generation,
    )
    return AdmittedRequest(request, make_route(), fleet.service, None)
