"""Metrics of an entry instance."""

import anyio

from almonddeal_common.metrics import Gauge

UPDATE_INTERVAL_S = 1.0


class EntryMetrics:
    """Exports the state and the counters of an entry instance as gauges.

    Parameters
    ----------
    entry : EntryInstance
    """

    def __init__(self, entry):
        self._entry = entry
        self._gauge_by_name = {
            name: Gauge(f"almonddeal_{name}", help_text)
            for name, help_text in (
                ("document_version", "Version of the document in force here"),
                ("control_age_ms", "Age of the last confirmed knowledge of control"),
                ("answers_working", "Answers that are being generated"),
                ("answers_held", "Copies of answers held"),
                ("answers_held_bytes", "Memory of the held answers"),
                ("attempts", "Attempts started"),
                ("resumes", "Attempts that continued an answer"),
                ("tokens", "Tokens taken from engines"),
                ("stale_chunks", "Chunks dropped by attempt number"),
                ("orders_in_flight", "Orders that run"),
                ("targets_live", "Live targets"),
            )
        }
        self._losses = Gauge("almonddeal_losses", "Attempts lost, by code")

    async def run(self):
        """Update the gauges every `UPDATE_INTERVAL_S`, until cancelled."""
        while True:
            self._update()
            await anyio.sleep(UPDATE_INTERVAL_S)

    def _update(self):
        status = self._entry.status()
        stats = self._entry.generation_stats
        values = {
            "document_version": status["version"],
            "control_age_ms": status["fresh_age_ms"],
            "answers_working": status["answers"]["working"],
            "answers_held": status["answers"]["held"],
            "answers_held_bytes": status["answers"]["held_bytes"],
            "attempts": stats.n_attempts,
            "resumes": stats.n_resumes,
            "tokens": stats.n_tokens,
            "stale_chunks": stats.n_stale_chunks,
            "orders_in_flight": status["orders_in_flight"],
            "targets_live": sum(t["live"] for t in status["targets"]),
        }
        for name, value in values.items():
            self._gauge_by_name[name].set({}, value)
        for code, n_losses in stats.n_losses_by_code.items():
            self._losses.set({"code": code}, n_losses)
