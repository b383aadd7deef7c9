"""Child processes that the tools start, pause, terminate and kill."""

import os
import signal
import subprocess
from pathlib import Path

STOP_TIMEOUT_S = 8.0


class Process:
    """A child process that can be started again with the same command.

    Parameters
    ----------
    name : str
    command : list of str
    log_path : Path
        File to which standard output and standard error are appended.
    """

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
        """Process id of the latest start."""
        return self._popen.pid

    @property
    def is_running(self):
        """Whether the process was started and has not exited; true while paused."""
        return self._popen is not None and self._popen.poll() is None

    def start(self):
        """Start the process, for the first time or again."""
        self.is_paused = False
        with open(self._log_path, "ab") as log:
            self._popen = subprocess.Popen(
                self._command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def send_signal(self, signal_number):
        """Send a signal if the process is running."""
        if self.is_running:
            os.kill(self.pid, signal_number)

    def kill(self):
        """Send SIGKILL and wait for the exit."""
        self.send_signal(signal.SIGKILL)
        self.wait()

    def terminate(self):
        """Send SIGTERM, without waiting for the exit."""
        self.send_signal(signal.SIGTERM)

    def pause(self):
        """Suspend the process with SIGSTOP until `resume`."""
        self.is_paused = True
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        """Continue a paused process with SIGCONT."""
        self.is_paused = False
        self.send_signal(signal.SIGCONT)

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Wait for the exit and return the exit status.

        Raises
        ------
        subprocess.TimeoutExpired
        """
        return self._popen.wait(timeout_s)

    def read_log(self):
        """Return the output of all starts of the process."""
        return Path(self._log_path).read_text()
