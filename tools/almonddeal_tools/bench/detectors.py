"""Detectors of stalled streams, compared on the same traces at equal false alarms.

A trace is the gaps between the tokens of one stream with the load that the engine
reported, late, at each of them. Every detector has one dial; it is set to the lowest
value that gives at most one false alarm in 10,000 streams of the traces, and is then
judged by the time from a hang to its verdict on other traces.

References
----------
W. Chen, S. Toueg and M. Aguilera, "On the Quality of Service of Failure Detectors",
2002 (NFD-E). N. Hayashibara et al., "The phi Accrual Failure Detector", 2004. W. Ma et
al., "A Study on Adaptive Fault Detection Algorithm for Distributed Storage System"
(MSP-AFD).
"""

import random
from collections import deque
from statistics import fmean, pstdev

from almonddeal_tools.bench.figures import percentile, show

N_STREAMS = 10_000
N_TEST_STREAMS = 2_000
N_GAPS = 100
WINDOW = 10
REPORT_LAG_GAPS = 8
BASE_MS = 25.0
BATCH_MS = 0.15
PREFILL_SHARE = 0.004


class Trace:
    """Gaps of one stream in ms and the token times that the engine reported then."""

    __slots__ = ("gaps", "reported")

    def __init__(self, gaps, reported):
        self.gaps = gaps
        self.reported = reported


def make_trace(chance):
    """Return the trace of one stream on an engine whose batch changes.

    The batch drifts and now and then jumps, as when a neighbour fails; now and then the
    prefill of another request holds all streams up; each gap jitters.
    """
    batch = chance.uniform(1, 200)
    history = deque([BASE_MS + BATCH_MS * batch], maxlen=REPORT_LAG_GAPS)
    gaps, reported = [], []
    for _ in range(N_GAPS):
        if chance.random() < 0.01:
            batch = chance.uniform(1, 250)
        batch = min(250.0, max(1.0, batch + chance.gauss(0, 4)))
        token_ms = BASE_MS + BATCH_MS * batch
        gap = token_ms * chance.lognormvariate(0, 0.12)
        if chance.random() < PREFILL_SHARE:
            gap += chance.uniform(50, 450)
        gaps.append(gap)
        reported.append(history[0])
        history.append(token_ms)
    return Trace(gaps, reported)


class Fixed:
    """A fixed timeout; the dial is its length."""

    def __init__(self):
        self.scale = 1.0
        self.offset = 0.0

    def note(self, gap, reported):
        """Take note of a gap."""


class NfdE:
    """Chen's estimate of the next arrival; the dial is the margin after it."""

    def __init__(self):
        self.scale = 1.0
        self.offset = BASE_MS
        self._gaps = deque(maxlen=WINDOW)

    def note(self, gap, reported):
        """Take note of a gap."""
        self._gaps.append(gap)
        self.offset = fmean(self._gaps)


class Phi:
    """Phi accrual with normal gaps; the dial is the number of deviations."""

    MIN_DEVIATION_MS = 2.0

    def __init__(self):
        self.scale = self.MIN_DEVIATION_MS
        self.offset = BASE_MS
        self._gaps = deque(maxlen=WINDOW * 3)

    def note(self, gap, reported):
        """Take note of a gap."""
        self._gaps.append(gap)
        self.offset = fmean(self._gaps)
        self.scale = max(self.MIN_DEVIATION_MS, pstdev(self._gaps))


class MspAfd:
    """The paper's prediction from reported times; the dial scales its margin.

    The round trip is the gap, the processing time the reported token time.
    """

    P = 0.05
    Q = 3.0
    C = 0.25
    JUMP_MS = 50.0

    def __init__(self):
        self.scale = 100.0
        self.offset = BASE_MS
        self._rest = deque(maxlen=WINDOW)
        self._reported = deque(maxlen=WINDOW)
        self._errors = deque(maxlen=WINDOW)
        self._weights = [(n + 1) ** self.C for n in range(WINDOW)]

    def note(self, gap, reported):
        """Take note of a gap."""
        self._errors.append(abs(gap - self.offset))
        jump = abs(reported - self._reported[-1]) if self._reported else 0.0
        self._rest.append(gap - reported)
        self._reported.append(reported)
        is_jump = jump >= self.JUMP_MS
        predicted = fmean(self._reported) if is_jump else reported
        self.offset = fmean(self._rest) + predicted
        weights = self._weights[: len(self._errors)]
        weighted = sum(w * e for w, e in zip(weights, self._errors, strict=True))
        error = weighted / sum(weights)
        margin = self.scale + self.P * (error - self.scale)
        self.scale = max(margin, self.Q * error)


class LoadAware:
    """The larger of reported token time and smoothed gap; the dial multiplies it."""

    WEIGHT = 0.2

    def __init__(self):
        self.offset = 0.0
        self.scale = BASE_MS
        self._gap = BASE_MS

    def note(self, gap, reported):
        """Take note of a gap."""
        self._gap += self.WEIGHT * (gap - self._gap)
        self.scale = max(self._gap, reported)


class LoadOffset:
    """The same estimate; the dial is a margin in ms after it."""

    WEIGHT = 0.2

    def __init__(self):
        self.offset = BASE_MS
        self.scale = 1.0
        self._gap = BASE_MS

    def note(self, gap, reported):
        """Take note of a gap."""
        self._gap += self.WEIGHT * (gap - self._gap)
        self.offset = max(self._gap, reported)


DETECTOR_BY_NAME = {
    "fixed": Fixed,
    "NFD-E": NfdE,
    "phi accrual": Phi,
    "MSP-AFD": MspAfd,
    "load, multiplied": LoadAware,
    "load, plus margin": LoadOffset,
}


def dial_of(make, traces):
    """Return the lowest dial with at most one false alarm in 10,000 streams."""
    worst = []
    for trace in traces:
        detector = make()
        needed = 0.0
        for gap, reported in zip(trace.gaps, trace.reported, strict=True):
            needed = max(needed, (gap - detector.offset) / detector.scale)
            detector.note(gap, reported)
        worst.append(needed)
    worst.sort(reverse=True)
    return worst[len(traces) // 10_000]


def detection_times(make, dial, traces, chance):
    """Return the times in ms from a hang at a random moment to the verdict."""
    times = []
    for trace in traces:
        detector = make()
        end = chance.randrange(WINDOW, N_GAPS)
        for gap, reported in zip(trace.gaps[:end], trace.reported[:end], strict=True):
            detector.note(gap, reported)
        limit = detector.offset + dial * detector.scale
        times.append(max(0.0, limit - chance.random() * trace.gaps[end]))
    return times


def n_false_alarms(make, dial, traces):
    """Return how many streams a detector would have called stalled wrongly."""
    n_wrong = 0
    for trace in traces:
        detector = make()
        for gap, reported in zip(trace.gaps, trace.reported, strict=True):
            if gap > detector.offset + dial * detector.scale:
                n_wrong += 1
                break
            detector.note(gap, reported)
    return n_wrong


def run(seed=1):
    """Compare all detectors and print a figure for each."""
    chance = random.Random(seed)
    traces = [make_trace(chance) for _ in range(N_STREAMS)]
    test_traces = [make_trace(chance) for _ in range(N_TEST_STREAMS)]
    fixed_mean = None
    for name, make in DETECTOR_BY_NAME.items():
        dial = dial_of(make, traces)
        times = detection_times(make, dial, test_traces, random.Random(seed))
        mean = fmean(times)
        fixed_mean = fixed_mean or mean
        show(
            f"time to detect a hang, {name}",
            mean,
            "ms, mean",
            "under 3000 at p99",
            fixed_mean,
            p99=round(percentile(times, 99), 1),
            dial=round(dial, 2),
            false_alarms_on_other_traces=n_false_alarms(make, dial, test_traces),
        )


def main():
    """Run the comparison."""
    run()


if __name__ == "__main__":
    main()
