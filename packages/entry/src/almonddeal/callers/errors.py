"""Conversion of errors to HTTP responses and events with the result code."""

import json

from starlette.requests import ClientDisconnect
from starlette.responses import JSONResponse, Response

from almonddeal_common.codes import INTERNAL, AlmonddealError
from almonddeal_common.logs import decide, get_logger

MAX_LOGGED_DETAIL_CHARS = 200
MAX_LOGGED_PATH_CHARS = 200
CLIENT_CLOSED_REQUEST = 499  # nobody receives this response

log = get_logger("callers")


def error_response(error):
    """Return the JSON response for an `AlmonddealError`."""
    headers = {"almonddeal-code": str(error.code.number)}
    if error.retry_after_ms is not None:
        headers["retry-after"] = str(max(1, round(error.retry_after_ms / 1000)))
    return JSONResponse(error.as_json(), error.code.http_status, headers)


def error_event(error):
    """Return the server-sent event for an `AlmonddealError` that ends a stream."""
    return f"event: error\ndata: {json.dumps(error.as_json())}\n\n"


def with_error_responses(endpoint):
    """Return a Starlette endpoint that converts errors to responses.

    An `AlmonddealError` becomes its own response. A caller that disconnects is no
    error. Any other exception is logged and becomes `INTERNAL`.
    """

    async def wrapped(request):
        try:
            return await endpoint(request)
        except AlmonddealError as error:
            decide(
                log,
                "request failed",
                path=request.url.path[:MAX_LOGGED_PATH_CHARS],
                code=error.code.name,
                detail=error.detail[:MAX_LOGGED_DETAIL_CHARS],
                after_ms=error.retry_after_ms,
            )
            return error_response(error)
        except ClientDisconnect:
            log.info("caller of %s disconnected before the response", request.url.path)
            return Response(status_code=CLIENT_CLOSED_REQUEST)
        except Exception:
            log.exception("unexpected error while serving %s", request.url.path)
            return error_response(AlmonddealError(INTERNAL, "see the log"))

    return wrapped
