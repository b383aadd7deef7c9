"""The load of engines: runs of all instances, as far as they are known here."""

from almonddeal.relay.pace import ReadingPace
from almonddeal_common.clock import monotonic_ms

FORGET_RUN_MS = 30_000  # longer than any route lets a request run
FIRST_RUN_MS = 8000.0  # a run's time before any was seen: 800 tokens of 10 ms
SLOW_RATIO = 1.7  # prompts that are read beside others take up to this much longer
RUN_GAIN = 0.1  # weight of a new run in the usual time of one


class TargetLoad:
    """Sums over the runs at one target.

    Attributes
    ----------
    n_runs : int
    n_tokens : int
        Tokens of prompts and output in memory, at their most.
    n_unread_tokens : int
        Tokens of prompts that are still to be read.
    n_copy_tokens : int
        Tokens of copies that are kept for runs at other targets.
    begun_ms_by_request : dict of str to float
        When each run at the target became known, the oldest one first.
    reading_by_request : dict of str to tuple
        When each prompt that is being read was given to the target, in ms, and how
        many tokens were to be read up to its end then.
    """

    __slots__ = (
        "begun_ms_by_request",
        "n_copy_tokens",
        "n_runs",
        "n_tokens",
        "n_unread_tokens",
        "reading_by_request",
    )

    def __init__(self):
        self.begun_ms_by_request = {}
        self.reading_by_request = {}
        self.n_runs = 0
        self.n_tokens = 0
        self.n_unread_tokens = 0
        self.n_copy_tokens = 0

    @property
    def n_used_tokens(self):
        """Tokens in memory, copies included."""
        return self.n_tokens + self.n_copy_tokens


EMPTY_LOAD = TargetLoad()


class LoadView:
    """Load by target, kept from the runs that were reported.

    A target that started anew has a load of its own: targets are told apart by id and
    start.

    Attributes
    ----------
    run_ms : float
        Usual time of a run from its begin at a target to its end.
    """

    def __init__(self):
        self.run_ms = FIRST_RUN_MS
        self._pace = ReadingPace()
        self._run_by_request = {}
        self._taken_ms_by_request = {}
        self._load_by_target = {}
        self._cut_by_fingerprint = {}
        self._seen_ms_by_instance = {}

    def left_target(self, run):
        """Return the target, and its start, that a run was moved away from, or None.

        Parameters
        ----------
        run : Run
            News that was not taken yet.
        """
        known = self._run_by_request.get(run.request)
        if known is None or run.is_ended or known.target == run.target:
            return None
        return known.target, known.born_ms

    def merge(self, run):
        """Note the newest state of a run."""
        self._seen_ms_by_instance[run.instance] = monotonic_ms()
        known = self._run_by_request.pop(run.request, None)
        self._taken_ms_by_request.pop(run.request, None)
        if known is not None:
            self._count(known, -1)
            self._note_reading(known, run)
            self._note_run(known, run)
        if not run.is_ended:
            self._run_by_request[run.request] = run
            self._taken_ms_by_request[run.request] = monotonic_ms()
            self._count(run, 1)
        elif run.is_cut and run.backup:
            self._cut_by_fingerprint[run.fingerprint] = (run, monotonic_ms())

    def _count(self, run, sign):
        load = self._load(run.target, run.born_ms)
        load.n_runs += sign
        load.n_tokens += sign * run.n_tokens
        load.n_unread_tokens += sign * run.n_unread_tokens
        if sign > 0:
            load.begun_ms_by_request.setdefault(run.request, monotonic_ms())
        if sign > 0 and run.n_unread_tokens:
            reading = (monotonic_ms(), load.n_unread_tokens)
            load.reading_by_request.setdefault(run.request, reading)
        if run.backup:
            copy = self._load(run.backup, run.backup_born_ms)
            copy.n_copy_tokens += sign * run.n_tokens

    def _note_reading(self, known, run):
        """Learn the pace of a target from a prompt that it has read."""
        is_same = (known.target, known.born_ms) == (run.target, run.born_ms)
        if is_same and run.n_unread_tokens and not run.is_ended:
            return
        load = self._load(known.target, known.born_ms)
        reading = load.reading_by_request.pop(known.request, None)
        if reading is None:
            return
        since_ms, n_tokens = reading
        key = (known.target, known.born_ms)
        ms_per_token = (monotonic_ms() - since_ms) / n_tokens
        was_read = is_same and not run.is_ended
        # A reading that was given up tells only that it would have taken longer.
        if was_read or ms_per_token > self._pace.ms_per_token(key):
            self._pace.note(key, ms_per_token)

    def _note_run(self, known, run):
        """Learn how long runs take from one that ended, or moved."""
        is_same = (known.target, known.born_ms) == (run.target, run.born_ms)
        if is_same and not run.is_ended:
            return
        load = self._load(known.target, known.born_ms)
        begun_ms = load.begun_ms_by_request.pop(known.request, None)
        is_whole = is_same and not run.is_cut and not known.n_unread_tokens
        if begun_ms is not None and is_whole:
            self.run_ms += RUN_GAIN * (monotonic_ms() - begun_ms - self.run_ms)

    def reading_ms_per_token(self, announcement):
        """Return how long a target is thought to take for a token of a prompt, in ms.

        A prompt that is read for longer than usual tells before its end. Differences
        that a shared batch explains count as none.
        """
        now_ms = monotonic_ms()
        readings = self.load(announcement).reading_by_request.values()
        so_far = [(now_ms - since_ms) / n_tokens for since_ms, n_tokens in readings]
        seen = max(
            [
                self._pace.ms_per_token((announcement.target, announcement.born_ms)),
                *so_far,
            ]
        )
        usual = self._pace.usual_ms_per_token
        return seen if seen > SLOW_RATIO * usual else usual

    @property
    def usual_ms_per_token(self):
        """Time in ms that targets usually take for a token of a prompt."""
        return self._pace.usual_ms_per_token

    def _load(self, target, born_ms):
        key = (target, born_ms)
        if key not in self._load_by_target:
            self._load_by_target[key] = TargetLoad()
        return self._load_by_target[key]

    @property
    def n_instances(self):
        """Number of instances whose runs were seen lately."""
        return len(self._seen_ms_by_instance)

    def load(self, announcement):
        """Return the `TargetLoad` of an announced target."""
        return self._load_by_target.get(
            (announcement.target, announcement.born_ms), EMPTY_LOAD
        )

    def find_run(self, fingerprint):
        """Return a run for the same answer that was lost or cut off, or None."""
        for run in self._run_by_request.values():
            if run.fingerprint == fingerprint:
                return run
        return self._cut_by_fingerprint.get(fingerprint, (None, 0.0))[0]

    def evict_stale(self):
        """Drop runs whose end was never reported, and loads of nothing."""
        now_ms = monotonic_ms()
        for instance, seen_ms in list(self._seen_ms_by_instance.items()):
            if now_ms - seen_ms > FORGET_RUN_MS:
                del self._seen_ms_by_instance[instance]
        for fingerprint, (_, cut_ms) in list(self._cut_by_fingerprint.items()):
            if now_ms - cut_ms > FORGET_RUN_MS:
                del self._cut_by_fingerprint[fingerprint]
        for request, taken_ms in list(self._taken_ms_by_request.items()):
            if now_ms - taken_ms > FORGET_RUN_MS:
                run = self._run_by_request.pop(request)
                self._count(run, -1)
                load = self._load(run.target, run.born_ms)
                load.reading_by_request.pop(request, None)
                load.begun_ms_by_request.pop(request, None)
                del self._taken_ms_by_request[request]
        self._pace.evict_stale()
        for key, load in list(self._load_by_target.items()):
            if not load.n_runs and not load.n_copy_tokens:
                del self._load_by_target[key]
