"""Record of what a case sent, answered and ran, one line for each step."""

import time
from pathlib import Path


class Record:
    """Writes lines with the time since the start to a file.

    Parameters
    ----------
    path : path-like
    """

    def __init__(self, path):
        self._file = Path(path).open("w")  # noqa: SIM115
        self._start_s = time.monotonic()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._file.close()

    @property
    def now_s(self):
        """Time since the start in seconds."""
        return time.monotonic() - self._start_s

    def add(self, text):
        """Write one line."""
        self._file.write(f"{self.now_s:8.3f} {text}\n")
        self._file.flush()

    def conclude(self, text):
        """Write one line, and print it."""
        self.add(text)
        print(text, flush=True)
