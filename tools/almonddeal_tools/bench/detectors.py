"""Compares detectors of stalled streams at an equal rate of false alarms.

A trace holds the gaps between the tokens of one stream and, for each gap, the token
time that the engine reported, which lags. A detector suspects a stall once a gap
exceeds ``offset + threshold * scale``; `observe` updates `offset` and `scale`. The
threshold (``dial`` in the output) is set to the lowest value that gives at most one
false alarm in 10,000 streams. The detection time is then measured on other traces.

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

from almonddeal_tools.bench.figures import percentile, print_figure

N_STREAMS = 10_000
N_TEST_STREAMS = 2_000
N_GAPS = 100
WINDOW = 10
REPORT_LAG_GAPS = 8
BASE_MS = 25.0
BATCH_MS = 0.15
PREFILL_SHARE = 0.004


class Trace:
    """Gaps of one stream and the token time reported at each gap, in ms."""

    __slots__ = ("gaps", "reported")

    def __init__(self, gaps, reported):
        self.gaps = gaps
        self.reported = reported


def make_trace(rng):
    """Return the trace of one stream on an engine whose batch size varies.

    The batch size drifts and occasionally jumps, as when another engine fails.
    Occasionally the prefill of another request delays the token. Each gap has jitter.
    """
    batch = rng.uniform(1, 200)
    recent_token_ms = deque([BASE_MS + BATCH_MS * batch], maxlen=REPORT_LAG_GAPS)
    gaps, reported = [], []
    for _ in range(N_GAPS):
        if rng.random() < 0.01:
            batch = rng.uniform(1, 250)
        batch = min(250.0, max(1.0, batch + rng.gauss(0, 4)))
        token_ms = BASE_MS + BATCH_MS * batch
        gap = token_ms * rng.lognormvariate(0, 0.12)
        if rng.random() < PREFILL_SHARE:
            gap += rng.uniform(50, 450)
        gaps.append(gap)
        reported.append(recent_token_ms[0])
        recent_token_ms.append(token_ms)
    return Trace(gaps, reported)


class Fixed:
    """A fixed timeout; the threshold is its length in ms."""

    def __init__(self):
        self.scale = 1.0
        self.offset = 0.0

    def observe(self, gap, reported):
        """Update the estimate with a gap and the reported token time, in ms."""


class NfdE:
    """Chen's estimate of the next arrival; the threshold is the margin in ms."""

    def __init__(self):
        self.scale = 1.0
        self.offset = BASE_MS
        self._gaps = deque(maxlen=WINDOW)

    def observe(self, gap, reported):
        """Update the estimate with a gap and the reported token time, in ms."""
        self._gaps.append(gap)
        self.offset = fmean(self._gaps)


class Phi:
    """Phi accrual with normally distributed gaps.

    The threshold is a number of standard deviations.
    """

    MIN_DEVIATION_MS = 2.0

    def __init__(self):
        self.scale = self.MIN_DEVIATION_MS
        self.offset = BASE_MS
        self._gaps = deque(maxlen=WINDOW * 3)

    def observe(self, gap, reported):
        """Update the estimate with a gap and the reported token time, in ms."""
        self._gaps.append(gap)
        self.offset = fmean(self._gaps)
        self.scale = max(self.MIN_DEVIATION_MS, pstdev(self._gaps))


class MspAfd:
    """MSP-AFD with predictions from reported times; the threshold scales its margin.

    The round trip of the paper is the gap, its processing time the reported token time.
    """

    P = 0.05
    Q = 3.0
    C = 0.25
    JUMP_MS = 50.0

    def __init__(self):
        self.scale = 100.0
        self.offset = BASE_MS
        self._network_times = deque(maxlen=WINDOW)
        self._reported = deque(maxlen=WINDOW)
        self._errors = deque(maxlen=WINDOW)
        self._weights = [(n + 1) ** self.C for n in range(WINDOW)]

    def observe(self, gap, reported):
        """Update the estimate with a gap and the reported token time, in ms."""
        self._errors.append(abs(gap - self.offset))
        jump = abs(reported - self._reported[-1]) if self._reported else 0.0
        self._network_times.append(gap - reported)
        self._reported.append(reported)
        is_jump = jump >= self.JUMP_MS
        predicted_ms = fmean(self._reported) if is_jump else reported
        self.offset = fmean(self._network_times) + predicted_ms
        weights = self._weights[: len(self._errors)]
        weighted = sum(w * e for w, e in zip(weights, self._errors, strict=True))
        error = weighted / sum(weights)
        margin = self.scale + self.P * (error - self.scale)
        self.scale = max(margin, self.Q * error)


class LoadAware:
    """Multiple of the larger of reported token time and smoothed gap.

    The threshold is the factor.
    """

    WEIGHT = 0.2

    def __init__(self):
        self.offset = 0.0
        self.scale = BASE_MS
        self._smoothed_gap = BASE_MS

    def observe(self, gap, reported):
        """Update the estimate with a gap and the reported token time, in ms."""
        self._smoothed_gap += self.WEIGHT * (gap - self._smoothed_gap)
        self.scale = max(self._smoothed_gap, reported)


class LoadOffset:
    """The larger of reported token time and smoothed gap, plus a margin.

    The threshold is the margin in ms.
    """

    WEIGHT = 0.2

    def __init__(self):
        self.offset = BASE_MS
        self.scale = 1.0
        self._smoothed_gap = BASE_MS

    def observe(self, gap, reported):
        """Update the estimate with a gap and the reported token time, in ms."""
        self._smoothed_gap += self.WEIGHT * (gap - self._smoothed_gap)
        self.offset = max(self._smoothed_gap, reported)


DETECTOR_BY_NAME = {
    "fixed": Fixed,
    "NFD-E": NfdE,
    "phi accrual": Phi,
    "MSP-AFD": MspAfd,
    "load, multiplied": LoadAware,
    "load, plus margin": LoadOffset,
}


def calibrate_threshold(make_detector, traces):
    """Return the lowest threshold with at most one false alarm in 10,000 streams."""
    needed_thresholds = []
    for trace in traces:
        detector = make_detector()
        needed_threshold = 0.0
        for gap, reported in zip(trace.gaps, trace.reported, strict=True):
            needed_threshold = max(
                needed_threshold, (gap - detector.offset) / detector.scale
            )
            detector.observe(gap, reported)
        needed_thresholds.append(needed_threshold)
    needed_thresholds.sort(reverse=True)
    return needed_thresholds[len(traces) // 10_000]


def sample_detection_ms(make_detector, threshold, traces, rng):
    """Return the times in ms from a hang at a random moment to its detection."""
    times_ms = []
    for trace in traces:
        detector = make_detector()
        end = rng.randrange(WINDOW, N_GAPS)
        for gap, reported in zip(trace.gaps[:end], trace.reported[:end], strict=True):
            detector.observe(gap, reported)
        timeout_ms = detector.offset + threshold * detector.scale
        times_ms.append(max(0.0, timeout_ms - rng.random() * trace.gaps[end]))
    return times_ms


def count_false_alarms(make_detector, threshold, traces):
    """Return the number of streams that a detector wrongly suspects of a stall."""
    n_alarms = 0
    for trace in traces:
        detector = make_detector()
        for gap, reported in zip(trace.gaps, trace.reported, strict=True):
            if gap > detector.offset + threshold * detector.scale:
                n_alarms += 1
                break
            detector.observe(gap, reported)
    return n_alarms


def run(seed=1):
    """Compare all detectors and print a figure for each, with fixed as baseline."""
    rng = random.Random(seed)
    traces = [make_trace(rng) for _ in range(N_STREAMS)]
    test_traces = [make_trace(rng) for _ in range(N_TEST_STREAMS)]
    fixed_mean_ms = None
    for name, make_detector in DETECTOR_BY_NAME.items():
        threshold = calibrate_threshold(make_detector, traces)
        times_ms = sample_detection_ms(
            make_detector, threshold, test_traces, random.Random(seed)
        )
        mean_ms = fmean(times_ms)
        fixed_mean_ms = fixed_mean_ms or mean_ms
        print_figure(
            f"time to detect a hang, {name}",
            mean_ms,
            "ms, mean",
            "under 3000 at p99",
            fixed_mean_ms,
            p99=round(percentile(times_ms, 99), 1),
            dial=round(threshold, 2),
            false_alarms_on_other_traces=count_false_alarms(
                make_detector, threshold, test_traces
            ),
        )


def main():
    """Run the comparison with the default seed."""
    run()


if __name__ == "__main__":
    main()
