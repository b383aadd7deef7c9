"""Logging set-up for text lines and JSON lines.

A logger is named ``almonddeal.<component>``. A text line reads
``<component>: <message>``; a JSON line has the component under ``part``.
"""

import atexit
import json
import logging
import sys
import time
from collections import deque
from threading import Thread

MAX_BUFFERED_LINES = 10_000  # about 4 MB
WRITE_INTERVAL_S = 0.2
TEXT_FORMAT = "%(asctime)s %(levelname)s %(part)s: %(message)s"


class _ComponentFilter(logging.Filter):
    def filter(self, record):
        """Set the component of the record; never drops it."""
        record.part = record.name.rpartition(".")[2]
        return True


def _timestamp(seconds):
    whole_seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    return f"{whole_seconds}.{int(seconds % 1 * 1000):03d}Z"


class JsonFormatter(logging.Formatter):
    """Formats records as JSON lines."""

    def format(self, record):
        """Return a record as one JSON line."""
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
        Lowest level that is logged.
    as_json : bool
        Whether each line is a JSON object.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(_ComponentFilter())
    formatter = JsonFormatter() if as_json else logging.Formatter(TEXT_FORMAT)
    handler.setFormatter(formatter)
    _install_handler(handler, level)


def _install_handler(handler, level):
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("httpx").setLevel(logging.WARNING)
    logging.getLogger("httpcore").setLevel(logging.WARNING)


class BackgroundHandler(logging.Handler):
    """Buffers lines for a writer thread and drops new ones while the buffer is full.

    A log sink that stops reading must not block requests: beyond `MAX_BUFFERED_LINES`,
    lines are dropped and counted, and the count is logged with the next lines written.

    Parameters
    ----------
    stream : file-like
    """

    def __init__(self, stream):
        super().__init__()
        self._stream = stream
        self._lines = deque()
        self.n_dropped = 0
        thread = Thread(target=self._flush_periodically, name="logs", daemon=True)
        thread.start()

    def emit(self, record):
        """Buffer the line of a record, or count it as dropped."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.n_dropped += 1
            return
        try:
            self._lines.append(self.format(record))
        except Exception:
            self.handleError(record)

    def _flush_periodically(self):
        while True:
            time.sleep(WRITE_INTERVAL_S)
            self.flush()

    def flush(self):
        """Write the buffered lines; called by the thread and when the process exits."""
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
    """Send all logs to standard output as JSON lines, without blocking on it."""
    handler = BackgroundHandler(sys.stdout)
    handler.addFilter(_ComponentFilter())
    handler.setFormatter(JsonFormatter())
    _install_handler(handler, level)
    atexit.register(handler.flush)


def decide(logger, message, **fields):
    """Log a decision with the values that led to it as fields of the JSON line."""
    if logger.isEnabledFor(logging.INFO):
        logger.info(message, extra={"facts": fields})


def get_logger(component):
    """Return the logger of a component, such as ``answers``."""
    return logging.getLogger(f"almonddeal.{component}")
