"""Numbered result codes, shared by callers, operators and the processes themselves.

``docs/RESULT_CODES.md`` holds the same table; a test checks that the two are equal.
"""

NO = "no"
YES = "yes"
UNKNOWN = "unknown"

SAFE = "safe"
UNSAFE = "unsafe"


class ResultCode:
    """One row of the table of result codes.

    Parameters
    ----------
    number : int
        Number in responses and logs; never reused for another meaning.
    name : str
        Name in upper case.
    http_status : int
        HTTP status of a response with this code.
    exit_status : int
        Exit status of a command that fails with this code.
    was_run : {"no", "yes", "unknown"}
        Whether a target executed the request.
    retry : {"safe", "unsafe"}
        Whether a retry is certain not to execute the request twice.
    meaning : str
        Explanation in one sentence, for operators and callers.
    """

    __slots__ = (
        "exit_status",
        "http_status",
        "meaning",
        "name",
        "number",
        "retry",
        "was_run",
    )

    def __init__(self, number, name, http_status, exit_status, was_run, retry, meaning):
        self.number = number
        self.name = name
        self.http_status = http_status
        self.exit_status = exit_status
        self.was_run = was_run
        self.retry = retry
        self.meaning = meaning

    def __repr__(self):
        return f"ResultCode({self.number}, {self.name!r})"


CODE_BY_NUMBER = {}


def _define(*fields):
    code = ResultCode(*fields)
    assert code.number not in CODE_BY_NUMBER, code
    CODE_BY_NUMBER[code.number] = code
    return code


# fmt: off
OK = _define(0, "OK", 200, 0, YES, SAFE, "The request was carried out.")

BAD_REQUEST = _define(100, "BAD_REQUEST", 400, 10, NO, SAFE, "The request is malformed.")
UNAUTHENTICATED = _define(101, "UNAUTHENTICATED", 401, 11, NO, SAFE, "No valid key or token was given.")
FORBIDDEN = _define(102, "FORBIDDEN", 403, 12, NO, SAFE, "The customer or operator may not do this.")
NOT_FOUND = _define(103, "NOT_FOUND", 404, 13, NO, SAFE, "There is no such path, model or service.")
TOO_LARGE = _define(104, "TOO_LARGE", 413, 14, NO, SAFE, "The body is larger than the limit.")
KEY_REUSED = _define(105, "KEY_REUSED", 422, 15, NO, UNSAFE, "The idempotency key belongs to an order with another body.")
KEY_MISSING = _define(106, "KEY_MISSING", 400, 16, NO, SAFE, "An order needs an Idempotency-Key header.")
REQUEST_EXISTS = _define(107, "REQUEST_EXISTS", 409, 17, NO, UNSAFE, "The request id belongs to an answer to another body.")
HEADERS_TOO_LARGE = _define(108, "HEADERS_TOO_LARGE", 431, 18, NO, SAFE, "The headers are larger than the limit.")

RATE_LIMITED = _define(200, "RATE_LIMITED", 429, 20, NO, SAFE, "The customer sends more requests a second than its limit.")
TOO_MANY_STREAMS = _define(201, "TOO_MANY_STREAMS", 429, 21, NO, SAFE, "The customer has as many answers in flight as its limit.")
OVERLOADED = _define(202, "OVERLOADED", 503, 22, NO, SAFE, "The wait would outlast the deadline.")
NO_TARGET = _define(203, "NO_TARGET", 503, 23, NO, SAFE, "No live target serves this request.")
STOPPING = _define(204, "STOPPING", 503, 24, NO, SAFE, "The process is stopping and takes nothing new.")
DEADLINE = _define(205, "DEADLINE", 504, 25, UNKNOWN, UNSAFE, "The deadline passed first.")
NO_CONFIGURATION = _define(206, "NO_CONFIGURATION", 503, 26, NO, SAFE, "The process has no configuration yet.")
PROMPT_QUARANTINED = _define(207, "PROMPT_QUARANTINED", 503, 27, NO, SAFE, "Engines crashed under a segment of the prompt; it is sent to none.")
REQUEST_QUARANTINED = _define(208, "REQUEST_QUARANTINED", 503, 28, NO, SAFE, "Targets crashed under the same request; it is sent to none.")
NOT_RESUMABLE = _define(209, "NOT_RESUMABLE", 503, 29, NO, SAFE, "No live target has the software version that began the stream, or that version is not known.")

ANSWER_UNKNOWN = _define(300, "ANSWER_UNKNOWN", 404, 30, UNKNOWN, SAFE, "No answer is known by this request id.")
HOLDERS_UNREACHABLE = _define(301, "HOLDERS_UNREACHABLE", 503, 31, UNKNOWN, SAFE, "Too few holders of the answer can be reached just now.")
OWNERSHIP_LOST = _define(302, "OWNERSHIP_LOST", 409, 32, YES, SAFE, "Another entry instance has taken the answer over; reconnect.")
VERSION_GONE = _define(303, "VERSION_GONE", 503, 33, YES, SAFE, "No target runs the version that began the answer.")
ANSWER_CANCELLED = _define(304, "ANSWER_CANCELLED", 409, 34, YES, SAFE, "The answer was cancelled.")
ANSWER_MEMORY_FULL = _define(305, "ANSWER_MEMORY_FULL", 503, 35, NO, SAFE, "No memory is left for another answer in progress.")
ANSWER_INCOMPLETE = _define(306, "ANSWER_INCOMPLETE", 502, 36, YES, SAFE, "The answer could not be finished in time; reconnect to go on.")
ANSWER_EVICTED = _define(307, "ANSWER_EVICTED", 410, 37, YES, SAFE, "The answer ended and its text is no longer kept.")

ORDER_OUTCOME_UNKNOWN = _define(400, "ORDER_OUTCOME_UNKNOWN", 502, 40, UNKNOWN, UNSAFE, "The order was sent once and its outcome is not known; it is never sent again.")
ORDER_IN_PROGRESS = _define(401, "ORDER_IN_PROGRESS", 409, 41, UNKNOWN, SAFE, "An equal order is still in progress.")
ORDER_NOT_SENT = _define(402, "ORDER_NOT_SENT", 503, 42, NO, SAFE, "The order was claimed and certainly not run.")
ORDER_EXPIRED = _define(403, "ORDER_EXPIRED", 410, 43, UNKNOWN, UNSAFE, "The order was claimed long ago and its reply is no longer kept.")
SERVICE_FAILED = _define(404, "SERVICE_FAILED", 502, 44, UNKNOWN, SAFE, "The service did not answer a lookup.")

NOT_LEADER = _define(500, "NOT_LEADER", 503, 50, NO, SAFE, "This instance does not lead the control group.")
NO_QUORUM = _define(501, "NO_QUORUM", 503, 51, NO, SAFE, "The control group has no reachable leader.")
VERSION_CONFLICT = _define(502, "VERSION_CONFLICT", 409, 52, NO, SAFE, "The document changed since the given base version.")
DOCUMENT_INVALID = _define(503, "DOCUMENT_INVALID", 422, 53, NO, SAFE, "The document does not pass validation.")
STORAGE_FULL = _define(504, "STORAGE_FULL", 507, 54, NO, SAFE, "The data folder has no room left.")
NOT_IN_FORCE = _define(505, "NOT_IN_FORCE", 504, 55, YES, SAFE, "The change is accepted and not yet confirmed everywhere.")
CHANGE_OUTCOME_UNKNOWN = _define(506, "CHANGE_OUTCOME_UNKNOWN", 504, 56, UNKNOWN, SAFE, "The change may have been accepted; send it again with its change id.")

ATTEMPT_LOST = _define(600, "ATTEMPT_LOST", 502, 60, UNKNOWN, SAFE, "The engine stopped sending in the middle of an attempt.")
TARGET_LEAVING = _define(601, "TARGET_LEAVING", 503, 61, NO, SAFE, "The target is leaving and takes no new work.")
LEASE_EXPIRED = _define(602, "LEASE_EXPIRED", 503, 62, NO, SAFE, "The target cannot prove that it may take new work.")
TARGET_REFUSED = _define(603, "TARGET_REFUSED", 503, 63, NO, SAFE, "The target refused the work before running it.")
LINK_LOST = _define(604, "LINK_LOST", 502, 64, UNKNOWN, SAFE, "The connection to another process was lost.")
TARGET_STALLED = _define(605, "TARGET_STALLED", 502, 65, UNKNOWN, SAFE, "The engine is connected and silent for too long.")
TARGET_HANDOVER = _define(606, "TARGET_HANDOVER", 503, 66, UNKNOWN, SAFE, "The target stops and hands the answer over.")
NOT_REACHED = _define(607, "NOT_REACHED", 502, 67, NO, SAFE, "No connection to the other process could be made.")
STALE_FENCE = _define(608, "STALE_FENCE", 409, 68, NO, SAFE, "The order carries an older fencing number than one seen before.")

SETTINGS_INVALID = _define(700, "SETTINGS_INVALID", 500, 70, NO, SAFE, "The settings file is wrong; nothing was started.")
DATA_DAMAGED = _define(701, "DATA_DAMAGED", 500, 71, NO, SAFE, "The data folder is damaged beyond its torn tail.")
PROTOCOL_MISMATCH = _define(702, "PROTOCOL_MISMATCH", 500, 72, NO, SAFE, "The other process speaks a release too far away.")
INTERNAL = _define(703, "INTERNAL", 500, 73, UNKNOWN, UNSAFE, "A fault in almonddeal itself.")
ADDRESS_IN_USE = _define(704, "ADDRESS_IN_USE", 500, 74, NO, SAFE, "An address of the settings is already in use.")
# fmt: on


class AlmonddealError(Exception):
    """An error with a result code.

    Parameters
    ----------
    code : ResultCode
        The result code.
    detail : str
        Cause of the error, in one short sentence.
    was_run : {"no", "yes", "unknown"}, optional
        Overrides the value of the code where the outcome is known better.
    retry_after_ms : float, optional
        Delay in milliseconds before a retry is worthwhile.
    """

    def __init__(self, code, detail="", was_run=None, retry_after_ms=None):
        super().__init__(f"{code.name}: {detail}" if detail else code.name)
        self.code = code
        self.detail = detail
        self.was_run = was_run or code.was_run
        self.retry_after_ms = retry_after_ms

    def as_json(self):
        """Return the error as the JSON object of an HTTP response."""
        retry = (
            self.code.retry
            if self.retry_after_ms is None
            else {"after_ms": self.retry_after_ms}
        )
        return {
            "error": {
                "code": self.code.number,
                "name": self.code.name,
                "type": self.code.name.lower(),
                "message": self.detail or self.code.meaning,
                "was_run": self.was_run,
                "retry": retry,
            }
        }


def error_from_wire(number, detail):
    """Return the error for a code number from a peer; unknown ones become `INTERNAL`."""
    return AlmonddealError(CODE_BY_NUMBER.get(number, INTERNAL), detail or "")
