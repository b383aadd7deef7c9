"""Logging in the house form: short sentences after the fixed prefix of a part.

A logger is named ``almonddeal.<part>``; its lines read ``<part>: <sentence>``.
"""

import json
import logging
import sys
import time

TEXT_FORMAT = "%(asctime)s %(levelname)s %(part)s: %(message)s"


class _PartFilter(logging.Filter):
    def filter(self, record):
        """Add the part to a record."""
        record.part = record.name.rpartition(".")[2]
        return True


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON."""

    def format(self, record):
        """Return the line of a record."""
        line = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(record.created)),
            "level": record.levelname,
            "part": record.part,
            "message": record.getMessage(),
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
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("httpx").setLevel(logging.WARNING)
    logging.getLogger("httpcore").setLevel(logging.WARNING)


def get_logger(part):
    """Return the logger of a part, such as ``answers``."""
    return logging.getLogger(f"almonddeal.{part}")
