"""Metrics of an agent."""

import anyio

from almonddeal_common.metrics import Gauge

UPDATE_INTERVAL_S = 1.0
HELP_BY_NAME = {
    "in_flight": "Attempts and calls that run",
    "has_lease": "Whether the target may take work by its lease",
    "is_leaving": "Whether the target is leaving",
    "document_version": "Highest version of the document heard of",
    "fence": "Highest fencing number heard of",
    "answers_held": "Copies of answers held",
    "answers_held_bytes": "Memory of the held answers",
    "attempts_started": "Attempts started at the engine",
    "attempts_stalled": "Attempts abandoned for silence",
    "engine_token_ms": "Time of a token as the engine reports it",
}


class AgentMetrics:
    """Updates the Prometheus gauges of an agent at intervals.

    Parameters
    ----------
    read_values : callable
        Returns the current values by the names in `HELP_BY_NAME`.
    """

    def __init__(self, read_values):
        self._read_values = read_values
        self._gauge_by_name = {
            name: Gauge(f"almonddeal_agent_{name}", help_text)
            for name, help_text in HELP_BY_NAME.items()
        }

    async def run(self):
        """Update the gauges until cancelled."""
        while True:
            for name, value in self._read_values().items():
                self._gauge_by_name[name].set({}, value)
            await anyio.sleep(UPDATE_INTERVAL_S)
