"""Errors as HTTP responses with the result code."""

import json

from starlette.responses import JSONResponse

from almonddeal_common.codes import INTERNAL, AlmonddealError
from almonddeal_common.logs import get_logger

log = get_logger("callers")


def error_response(error):
    """Return the JSON response for an `AlmonddealError`."""
    headers = {"almonddeal-code": str(error.code.number)}
    if error.retry_after_ms is not None:
        headers["retry-after"] = str(max(1, round(error.retry_after_ms / 1000)))
    return JSONResponse(error.as_json(), error.code.http_status, headers)


def error_event(error):
    """Return the server-sent event that ends a stream with an error."""
    return f"event: error\ndata: {json.dumps(error.as_json())}\n\n"


def answers_errors(endpoint):
    """Wrap a Starlette endpoint so that errors become responses."""

    async def wrapped(request):
        try:
            return await endpoint(request)
        except AlmonddealError as error:
            return error_response(error)
        except Exception:
            log.exception("request %s failed", request.url.path)
            return error_response(AlmonddealError(INTERNAL, "see the log"))

    return wrapped
