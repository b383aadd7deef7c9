"""Processes that the drivers start, stop, pause and kill."""

import os
import signal
import subprocess
from pathlib import Path

STOP_TIMEOUT_S = 8.0


class Process:
    """One process of the fleet."""

    def __init__(self, name, command, log_path):
        self.name = name
        self._command = command
        self._log_path = log_path
        self._popen = None
        self.is_paused = False

    def __repr__(self):
        return f"Process({self.name!r})"

    @property
    def pid(self):
        """Id of the running process."""
        return self._popen.pid

    @property
    def is_running(self):
        """Whether the process runs."""
        return self._popen is not None and self._popen.poll() is None

    def start(self):
        """Start the process, or start it again."""
        self.is_paused = False
        with open(self._log_path, "ab") as log:
            self._popen = subprocess.Popen(
                self._command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def signal(self, number):
        """Send a signal."""
        if self.is_running:
            os.kill(self.pid, number)

    def kill(self):
        """End the process without notice."""
        self.signal(signal.SIGKILL)
        self.wait()

    def terminate(self):
        """Tell the process to stop."""
        self.signal(signal.SIGTERM)

    def pause(self):
        """Stop the process from running for a while."""
        self.is_paused = True
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Let a paused process run on."""
        self.is_paused = False
        self.signal(signal.SIGCONT)

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Wait for the end; returns the exit status."""
        return self._popen.wait(timeout_s)

    def log_text(self):
        """Return what the process wrote."""
        return Path(self._log_path).read_text()
