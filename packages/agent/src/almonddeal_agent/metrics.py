"""Metrics of an agent."""

import anyio

from almonddeal_common.metrics import Gauge

INTERVAL_S = 1.0
TEXT_BY_NAME = {
    "in_flight": "Attempts and calls that run",
    "has_lease": "Whether the target may take work by its lease",
    "is_leaving": "Whether the target is leaving",
    "document_version": "Highest version of the document heard of",
    "fence": "Highest fencing number heard of",
    "answers_held": "Copies of answers held",
    "answers_held_bytes": "Memory of the held answers",
    "attempts_started": "Attempts started at the engine",
    "attempts_stalled": "Attempts given up for silence",
    "engine_token_ms": "Time of a token as the engine reports it",
}


class AgentMetrics:
    """Copies the figures of an agent into its metrics at intervals.

    Parameters
    ----------
    figures : callable
        Returns the values of `TEXT_BY_NAME`, by name.
    """

    def __init__(self, figures):
        self._figures = figures
        self._gauge_by_name = {
            name: Gauge(f"almonddeal_agent_{name}", text)
            for name, text in TEXT_BY_NAME.items()
        }

    async def run(self):
        """Update the metrics until cancelled."""
        while True:
            for name, value in self._figures().items():
                self._gauge_by_name[name].set({}, value)
            await anyio.sleep(INTERVAL_S)
