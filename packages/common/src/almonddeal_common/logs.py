"""Logging in the house form: short sentences after the fixed prefix of a part.

A logger is named ``almonddeal.<part>``; its lines read ``<part>: <sentence>``.
"""

import atexit
import json
import logging
import sys
import time
from collections import deque
from threading import Thread

MAX_WAITING_LINES = 10_000  # about 4 MB of lines
WRITE_INTERVAL_S = 0.2
TEXT_FORMAT = "%(asctime)s %(levelname)s %(part)s: %(message)s"


class _PartFilter(logging.Filter):
    def filter(self, record):
        """Add the part to a record."""
        record.part = record.name.rpartition(".")[2]
        return True


def _timestamp(seconds):
    whole = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    return f"{whole}.{int(seconds % 1 * 1000):03d}Z"


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON."""

    def format(self, record):
        """Return the line of a record."""
        line = {
            "time": _timestamp(record.created),
            "level": record.levelname,
            "part": record.part,
            "message": record.getMessage(),
            **getattr(record, "facts", {}),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line)


def set_up_logging(level="INFO", as_json=False):
    """Send all logs to standard error.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    as_json : bool
        Whether each line is a JSON object.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(_PartFilter())
    formatter = JsonFormatter() if as_json else logging.Formatter(TEXT_FORMAT)
    handler.setFormatter(formatter)
    _install(handler, level)


def _install(handler, level):
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("httpx").setLevel(logging.WARNING)
    logging.getLogger("httpcore").setLevel(logging.WARNING)


class BackgroundHandler(logging.Handler):
    """Hands lines to a thread that writes them, and drops what it cannot keep.

    A sink that does not read must not hold up requests: beyond `MAX_WAITING_LINES` new
    lines are counted instead of kept, and the count is written once there is room.

    Parameters
    ----------
    stream : file-like
    """

    def __init__(self, stream):
        super().__init__()
        self._stream = stream
        self._lines = deque()
        self.n_dropped = 0
        thread = Thread(target=self._write_for_ever, name="logs", daemon=True)
        thread.start()

    def emit(self, record):
        """Keep the line of a record for the writer."""
        if len(self._lines) >= MAX_WAITING_LINES:
            self.n_dropped += 1
            return
        try:
            self._lines.append(self.format(record))
        except Exception:
            self.handleError(record)

    def _write_for_ever(self):
        while True:
            time.sleep(WRITE_INTERVAL_S)
            self.flush()

    def flush(self):
        """Write what waits; called by the thread, and once when the process ends."""
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if self.n_dropped:
            lines.append(json.dumps({"part": "logs", "n_dropped": self.n_dropped}))
            self.n_dropped = 0
        if not lines:
            return
        try:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
        except OSError:
            self.n_dropped += len(lines)


def set_up_background_logging(level="INFO"):
    """Send all logs to standard output as JSON lines, never blocking the caller."""
    handler = BackgroundHandler(sys.stdout)
    handler.addFilter(_PartFilter())
    handler.setFormatter(JsonFormatter())
    _install(handler, level)
    atexit.register(handler.flush)


def decide(logger, sentence, **facts):
    """Log a decision with the facts that led to it, as fields of the line."""
    if logger.isEnabledFor(logging.INFO):
        logger.info(sentence, extra={"facts": facts})


def get_logger(part):
    """Return the logger of a part, such as ``answers``."""
    return logging.getLogger(f"almonddeal.{part}")
