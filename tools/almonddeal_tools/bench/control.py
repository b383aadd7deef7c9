"""Times of document changes, of a leader failover and of catching up on changes."""

import copy
import time

import httpx

from almonddeal_tools.bench.figures import percentile, print_figure
from almonddeal_tools.fleet import OPERATOR_TOKEN

N_CHANGES = 60
N_LEADER_KILLS = 6
N_MISSED_CHANGES = 500
WAIT_MS = 20_000


class ControlBench:
    """Applies document changes through the operators' HTTP interface.

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

    def _apply_change(self, entry, wait_ms=0):
        """Apply the next change; returns the response as a dict, or None on failure."""
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

    def _measure_in_force_ms(self):
        times_ms = []
        for number in range(N_CHANGES):
            started = time.monotonic()
            result = self._apply_change(number % 3, WAIT_MS)
            assert result["in_force"], result
            times_ms.append((time.monotonic() - started) * 1000)
        return times_ms

    def _measure_accepted_ms(self):
        times_ms = []
        for number in range(N_CHANGES):
            started = time.monotonic()
            assert self._apply_change(number % 3) is not None
            times_ms.append((time.monotonic() - started) * 1000)
        return times_ms

    def _leader_number(self):
        return int(self._fleet.fetch_status(0)["leader"].removeprefix("entry"))

    def _measure_leader_loss_ms(self):
        times_ms = []
        for _ in range(N_LEADER_KILLS):
            leader = self._leader_number()
            process = self._fleet.process_by_name[f"entry{leader}"]
            other = (leader + 1) % 3
            started = time.monotonic()
            process.kill()
            while self._apply_change(other) is None:
                time.sleep(0.02)
            times_ms.append((time.monotonic() - started) * 1000)
            process.start()
            self._fleet.wait_until(self._fleet.all_ready, "ready fleet")
        return times_ms

    def _measure_start_s(self, process, number, version):
        started = time.monotonic()
        process.start()
        self._fleet.wait_until(
            lambda: (
                (self._fleet.fetch_status(number) or {}).get("version", 0) >= version
            ),
            "latest version",
        )
        return time.monotonic() - started

    def _measure_catch_up_ms(self):
        """Return the time in ms by which missed changes prolong a start."""
        number = (self._leader_number() + 1) % 3
        process = self._fleet.process_by_name[f"entry{number}"]
        other = self._leader_number()
        process.kill()
        plain_s = self._measure_start_s(process, number, 1)
        process.kill()
        for _ in range(N_MISSED_CHANGES):
            result = self._apply_change(other)
        behind_s = self._measure_start_s(process, number, result["version"])
        return (behind_s - plain_s) * 1000

    def run(self):
        """Measure and print all figures."""
        accepted_ms = self._measure_accepted_ms()
        print_figure("change accepted, p99", percentile(accepted_ms, 99), "ms")
        times_ms = self._measure_in_force_ms()
        print_figure(
            "change in force everywhere, p99",
            percentile(times_ms, 99),
            "ms",
            "under 2000",
            None,
            p50=round(percentile(times_ms, 50), 1),
            n=len(times_ms),
        )
        extra_ms = self._measure_catch_up_ms()
        print_figure(
            f"to catch up {N_MISSED_CHANGES} changes, beyond a start",
            extra_ms,
            "ms",
            "under 1000",
        )
        times_ms = self._measure_leader_loss_ms()
        print_figure(
            "leader killed, time without accepting, worst",
            max(times_ms),
            "ms",
            "under 3000",
            None,
            p50=round(percentile(times_ms, 50), 1),
            n=len(times_ms),
        )
