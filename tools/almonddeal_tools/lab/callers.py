"""Callers of the simulated fleet, and what each of them saw."""

import anyio

from almonddeal.relay.requests import AdmittedRequest, CallerRequest, Generation
from almonddeal.relay.streams import relay_stream
from almonddeal.routing.model import STREAM, Route
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import AlmonddealError
from almonddeal_tools.lab.fleet import SERVICE_NAME

TIMEOUT_MS = 25_000.0
OBJECTIVE_MS = 4500.0
MAX_GAP_MS = 700.0
MAX_ATTEMPTS = 5
MAX_RETRIES = 1  # of a caller that was told when to come back
MAX_WAIT_SHARE = 1 / 3  # of the time left that a caller waits before it comes back


def make_route(priority=1):
    """Return the route of all simulated answers."""
    return Route(
        "r",
        "h",
        "/a/",
        STREAM,
        TIMEOUT_MS,
        OBJECTIVE_MS,
        priority,
        {SERVICE_NAME: 1.0},
        MAX_ATTEMPTS,
        True,
        True,
        MAX_GAP_MS,
    )


class Outcome:
    """What one caller saw.

    Attributes
    ----------
    at_s : float
        When the request was first sent.
    first_ms : float or None
        Time to the first event.
    max_gap_ms : float
        Longest pause between events.
    n_refusals : int
    is_complete : bool
    is_in_order : bool
        Whether each event came once, in order.
    """

    __slots__ = (
        "_last_id",
        "_last_ms",
        "at_s",
        "began_ms",
        "first_ms",
        "is_complete",
        "is_in_order",
        "max_gap_ms",
        "n_refusals",
        "took_ms",
    )

    def __init__(self):
        self.at_s = anyio.current_time()
        self.began_ms = monotonic_ms()
        self.first_ms = None
        self.max_gap_ms = 0.0
        self.n_refusals = 0
        self.is_complete = False
        self.is_in_order = True
        self.took_ms = None
        self._last_id = 0
        self._last_ms = None

    def note_events(self, data):
        """Note the bytes of some events."""
        now_ms = monotonic_ms()
        if self.first_ms is None:
            self.first_ms = now_ms - self.began_ms
        else:
            self.max_gap_ms = max(self.max_gap_ms, now_ms - self._last_ms)
        self._last_ms = now_ms
        for line in data.split(b"\n"):
            if line.startswith(b"id:"):
                number = int(line[3:])
                self.is_in_order &= number == self._last_id + 1
                self._last_id = number

    def end(self):
        """Note how long it took."""
        self.took_ms = monotonic_ms() - self.began_ms

    @property
    def is_on_time(self):
        """Whether the answer was complete, in time and without a long pause."""
        return (
            self.is_complete
            and self.is_in_order
            and self.first_ms <= OBJECTIVE_MS
            and self.max_gap_ms <= MAX_GAP_MS
        )

    @property
    def is_refused(self):
        """Whether the last thing it got was a refusal."""
        return self.first_ms is None and self.n_refusals > 0


class _Reply:
    """The caller's side of one request."""

    __slots__ = ("_outcome",)

    def __init__(self, outcome):
        self._outcome = outcome

    async def start(self, status, headers):
        return None

    async def send(self, data):
        self._outcome.note_events(data)

    async def finish(self):
        self._outcome.is_complete = True

    async def send_response(self, status, headers, body):
        return None


async def call(fleet, instance_numbers, request_id, n_prompt, n_output, outcome):
    """Ask for one answer, and once more if told when to come back.

    Parameters
    ----------
    fleet : LabFleet
    instance_numbers : list of int
        Instances to ask, in turn.
    request_id : str
    n_prompt, n_output : int
        Tokens.
    outcome : Outcome
    """
    for n_tries, number in enumerate(instance_numbers[: MAX_RETRIES + 1]):
        left_ms = TIMEOUT_MS - (monotonic_ms() - outcome.began_ms)
        admitted = _make_admitted(
            fleet, f"{request_id}-{n_tries}", n_prompt, n_output, left_ms
        )
        try:
            await relay_stream(admitted, fleet.instances[number], _Reply(outcome))
            break
        except AlmonddealError as error:
            if error.retry_after_ms is None:
                break
            outcome.n_refusals += 1
            await anyio.sleep(
                min(error.retry_after_ms, left_ms * MAX_WAIT_SHARE) / 1000
            )
    outcome.end()


def _make_admitted(fleet, request_id, n_prompt, n_output, left_ms):
    generation = Generation(n_prompt, n_output, request_id, f"part-{request_id}")
    request = CallerRequest(
        request_id,
        "POST",
        "h",
        "/a/b",
        b"/a/b",
        [],
        b"",
        left_ms,
        None,
        None,
        generation,
    )
    return AdmittedRequest(request, make_route(), fleet.service, None)
