"""Control: time until a change is in force, without a leader, and to catch up."""

import copy
import time

import httpx

from almonddeal_tools.bench.figures import percentile, show
from almonddeal_tools.fleet import OPERATOR_TOKEN

N_CHANGES = 60
N_LEADER_KILLS = 6
N_MISSED = 500
WAIT_MS = 20_000


class ControlBench:
    """Makes changes through the operators' interface.

    Parameters
    ----------
    fleet : Fleet
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._client = httpx.Client(
            headers={"authorization": f"Bearer {OPERATOR_TOKEN}"},
            timeout=30,
            trust_env=False,
        )
        self._n_changes = 0

    def _change(self, entry, wait_ms=0):
        """Apply one more change; returns the response's JSON, or None."""
        self._n_changes += 1
        document = copy.deepcopy(self._fleet.document)
        document["leaving"] = [f"none{self._n_changes}"]
        url = f"{self._fleet.operator_urls[entry]}/v1/apply"
        body = {"document": document, "wait_ms": wait_ms}
        try:
            response = self._client.post(url, json=body)
        except httpx.HTTPError:
            return None
        return response.json() if response.status_code == 200 else None

    def _in_force(self):
        times = []
        for number in range(N_CHANGES):
            started = time.monotonic()
            result = self._change(number % 3, WAIT_MS)
            assert result["in_force"], result
            times.append((time.monotonic() - started) * 1000)
        return times

    def _accepted(self):
        times = []
        for number in range(N_CHANGES):
            started = time.monotonic()
            assert self._change(number % 3) is not None
            times.append((time.monotonic() - started) * 1000)
        return times

    def _leader(self):
        return int(self._fleet.status(0)["leader"].removeprefix("entry"))

    def _without_leader(self):
        times = []
        for _ in range(N_LEADER_KILLS):
            leader = self._leader()
            process = self._fleet.process_by_name[f"entry{leader}"]
            other = (leader + 1) % 3
            started = time.monotonic()
            process.kill()
            while self._change(other) is None:
                time.sleep(0.02)
            times.append((time.monotonic() - started) * 1000)
            process.start()
            self._fleet.wait_until(self._fleet.all_ready, "ready fleet")
        return times

    def _start_time_s(self, process, number, version):
        started = time.monotonic()
        process.start()
        self._fleet.wait_until(
            lambda: (self._fleet.status(number) or {}).get("version", 0) >= version,
            "newest version",
        )
        return time.monotonic() - started

    def _catch_up(self):
        """Return the extra time in ms that a start takes after missed changes."""
        number = (self._leader() + 1) % 3
        process = self._fleet.process_by_name[f"entry{number}"]
        other = self._leader()
        process.kill()
        plain_s = self._start_time_s(process, number, 1)
        process.kill()
        for _ in range(N_MISSED):
            result = self._change(other)
        behind_s = self._start_time_s(process, number, result["version"])
        return (behind_s - plain_s) * 1000

    def run(self):
        """Measure and print all figures."""
        accepted = self._accepted()
        show("change accepted, p99", percentile(accepted, 99), "ms")
        times = self._in_force()
        show(
            "change in force everywhere, p99",
            percentile(times, 99),
            "ms",
            "under 2000",
            None,
            p50=round(percentile(times, 50), 1),
            n=len(times),
        )
        extra_ms = self._catch_up()
        show(
            f"to catch up {N_MISSED} changes, beyond a start",
            extra_ms,
            "ms",
            "under 1000",
        )
        times = self._without_leader()
        show(
            "leader killed, time without accepting, worst",
            max(times),
            "ms",
            "under 3000",
            None,
            p50=round(percentile(times, 50), 1),
            n=len(times),
        )
