"""Load of engines, derived from the run reports of all instances."""

from almonddeal.relay.prefill_times import PrefillTimes
from almonddeal_common.clock import monotonic_ms

REPORT_EXPIRY_MS = 30_000  # assumed longer than the timeout of any route
INITIAL_RUN_MS = 8000.0  # assumed until runs are seen: 800 tokens at 10 ms each
SLOW_PREFILL_RATIO = 1.7  # prefills that share a batch take up to this much longer
RUN_GAIN = 0.1  # weight of a new run in the mean duration


class TargetLoad:
    """Sums over the runs at one target process.

    Attributes
    ----------
    n_runs : int
    n_tokens : int
        KV-cache tokens that the runs may use at most, prompts and output.
    n_unread_tokens : int
        Prompt tokens that are not prefilled yet.
    n_copy_tokens : int
        Tokens of KV-cache copies held for runs at other targets.
    started_ms_by_request : dict of str to float
        When the start of each run at the target was reported, the oldest one first.
    prefill_by_request : dict of str to tuple
        For each prefill in progress: when the target received the prompt, in ms, and
        how many prompt tokens it had to prefill from then until this one is finished.
    """

    __slots__ = (
        "n_copy_tokens",
        "n_runs",
        "n_tokens",
        "n_unread_tokens",
        "prefill_by_request",
        "started_ms_by_request",
    )

    def __init__(self):
        self.started_ms_by_request = {}
        self.prefill_by_request = {}
        self.n_runs = 0
        self.n_tokens = 0
        self.n_unread_tokens = 0
        self.n_copy_tokens = 0

    @property
    def n_reserved_tokens(self):
        """KV-cache tokens that runs and copies may use at most."""
        return self.n_tokens + self.n_copy_tokens


EMPTY_LOAD = TargetLoad()


class LoadView:
    """Load by target process, kept from reported runs.

    The key is target id and start time: a restarted target begins with no load.

    Attributes
    ----------
    mean_run_ms : float
        Smoothed duration of a run at a target.
    """

    def __init__(self):
        self.mean_run_ms = INITIAL_RUN_MS
        self._prefill_times = PrefillTimes()
        self._run_by_request = {}
        self._reported_ms_by_request = {}
        self._load_by_target = {}
        self._interrupted_by_fingerprint = {}
        self._reported_ms_by_instance = {}

    def abandoned_target(self, run):
        """Return id and start time of the target from which a run was moved, or None.

        Parameters
        ----------
        run : Run
            A report that `merge` has not received yet.
        """
        known = self._run_by_request.get(run.request)
        if known is None or run.is_ended or known.target == run.target:
            return None
        return known.target, known.born_ms

    def merge(self, run):
        """Replace the known state of a run by a report; its reports come in order."""
        self._reported_ms_by_instance[run.instance] = monotonic_ms()
        known = self._run_by_request.pop(run.request, None)
        self._reported_ms_by_request.pop(run.request, None)
        if known is not None:
            self._add_to_load(known, -1)
            self._sample_prefill(known, run)
            self._sample_run_duration(known, run)
        if not run.is_ended:
            self._run_by_request[run.request] = run
            self._reported_ms_by_request[run.request] = monotonic_ms()
            self._add_to_load(run, 1)
        elif run.is_cut and run.backup:
            self._interrupted_by_fingerprint[run.fingerprint] = (run, monotonic_ms())

    def _add_to_load(self, run, sign):
        load = self._load_or_new(run.target, run.born_ms)
        load.n_runs += sign
        load.n_tokens += sign * run.n_tokens
        load.n_unread_tokens += sign * run.n_unread_tokens
        if sign > 0:
            load.started_ms_by_request.setdefault(run.request, monotonic_ms())
        if sign > 0 and run.n_unread_tokens:
            prefill = (monotonic_ms(), load.n_unread_tokens)
            load.prefill_by_request.setdefault(run.request, prefill)
        if run.backup:
            backup_load = self._load_or_new(run.backup, run.backup_born_ms)
            backup_load.n_copy_tokens += sign * run.n_tokens

    def _sample_prefill(self, known, run):
        """Update the prefill time of a target when one of its prefills is over."""
        is_same_process = (known.target, known.born_ms) == (run.target, run.born_ms)
        if is_same_process and run.n_unread_tokens and not run.is_ended:
            return
        load = self._load_or_new(known.target, known.born_ms)
        prefill = load.prefill_by_request.pop(known.request, None)
        if prefill is None:
            return
        since_ms, n_tokens = prefill
        key = (known.target, known.born_ms)
        ms_per_token = (monotonic_ms() - since_ms) / n_tokens
        is_finished = is_same_process and not run.is_ended
        # The time of an abandoned prefill is only a lower bound.
        if is_finished or ms_per_token > self._prefill_times.ms_per_token(key):
            self._prefill_times.add_sample(key, ms_per_token)

    def _sample_run_duration(self, known, run):
        """Update the mean run duration when a run ended normally at its target."""
        is_same_process = (known.target, known.born_ms) == (run.target, run.born_ms)
        if is_same_process and not run.is_ended:
            return
        load = self._load_or_new(known.target, known.born_ms)
        started_ms = load.started_ms_by_request.pop(known.request, None)
        is_complete = is_same_process and not run.is_cut and not known.n_unread_tokens
        if started_ms is not None and is_complete:
            self.mean_run_ms += RUN_GAIN * (
                monotonic_ms() - started_ms - self.mean_run_ms
            )

    def prefill_ms_per_token(self, announcement):
        """Return the estimated prefill time of a target per prompt token, in ms.

        A prefill in progress counts as soon as it takes longer than expected. Estimates
        within the range that batching explains count as typical.
        """
        now_ms = monotonic_ms()
        prefills = self.load(announcement).prefill_by_request.values()
        so_far = [(now_ms - since_ms) / n_tokens for since_ms, n_tokens in prefills]
        slowest = max(
            [
                self._prefill_times.ms_per_token(
                    (announcement.target, announcement.born_ms)
                ),
                *so_far,
            ]
        )
        typical = self._prefill_times.typical_ms_per_token
        return slowest if slowest > SLOW_PREFILL_RATIO * typical else typical

    @property
    def typical_prefill_ms_per_token(self):
        """Mean prefill time of all targets per prompt token, in ms."""
        return self._prefill_times.typical_ms_per_token

    def _load_or_new(self, target, born_ms):
        key = (target, born_ms)
        if key not in self._load_by_target:
            self._load_by_target[key] = TargetLoad()
        return self._load_by_target[key]

    @property
    def n_instances(self):
        """Number of instances that reported runs recently."""
        return len(self._reported_ms_by_instance)

    def load(self, announcement):
        """Return the `TargetLoad` of an announced target."""
        return self._load_by_target.get(
            (announcement.target, announcement.born_ms), EMPTY_LOAD
        )

    def find_run(self, stream_fingerprint):
        """Return an unfinished or interrupted run of a stream, or None."""
        for run in self._run_by_request.values():
            if run.fingerprint == stream_fingerprint:
                return run
        return self._interrupted_by_fingerprint.get(stream_fingerprint, (None, 0.0))[0]

    def evict_stale(self):
        """Evict runs and instances without a recent report, and loads that are zero."""
        now_ms = monotonic_ms()
        for instance, reported_ms in list(self._reported_ms_by_instance.items()):
            if now_ms - reported_ms > REPORT_EXPIRY_MS:
                del self._reported_ms_by_instance[instance]
        for fingerprint, (_, reported_ms) in list(
            self._interrupted_by_fingerprint.items()
        ):
            if now_ms - reported_ms > REPORT_EXPIRY_MS:
                del self._interrupted_by_fingerprint[fingerprint]
        for request, reported_ms in list(self._reported_ms_by_request.items()):
            if now_ms - reported_ms > REPORT_EXPIRY_MS:
                run = self._run_by_request.pop(request)
                self._add_to_load(run, -1)
                load = self._load_or_new(run.target, run.born_ms)
                load.prefill_by_request.pop(request, None)
                load.started_ms_by_request.pop(request, None)
                del self._reported_ms_by_request[request]
        self._prefill_times.evict_stale()
        for key, load in list(self._load_by_target.items()):
            if not load.n_runs and not load.n_copy_tokens:
                del self._load_by_target[key]
