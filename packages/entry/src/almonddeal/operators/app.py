"""HTTP endpoints for operators, with tokens and roles."""

import hashlib
import json

from starlette.applications import Starlette
from starlette.responses import JSONResponse, StreamingResponse
from starlette.routing import Mount, Route

from almonddeal.callers.errors import with_error_responses
from almonddeal.callers.requests import read_body
from almonddeal.document.model import FleetDocument
from almonddeal.document.validate import validate_document
from almonddeal.operators.changes import Change, validation_messages
from almonddeal_common.codes import (
    BAD_REQUEST,
    CODE_BY_NUMBER,
    DOCUMENT_INVALID,
    FORBIDDEN,
    OK,
    UNAUTHENTICATED,
    AlmonddealError,
)
from almonddeal_common.metrics import metrics_app

RANK_BY_ROLE = {"read": 0, "operate": 1, "administer": 2}
MAX_WAIT_MS = 60_000
DRAIN_WAIT_MS = 20_000


class OperatorInterface:
    """Operator endpoints of one entry instance.

    Parameters
    ----------
    entry : EntryInstance
        Provides the document, its changes, the status and the audit trail.
    """

    def __init__(self, entry):
        self._entry = entry

    def make_app(self):
        """Return the ASGI application."""
        return Starlette(
            routes=[
                self._route("/v1/document", self._document, "GET", "read"),
                self._route("/v1/validate", self._validate, "POST", "read"),
                self._route("/v1/plan", self._plan, "POST", "read"),
                self._route("/v1/apply", self._apply, "POST", "administer"),
                self._route("/v1/targets/{name}/drain", self._drain, "POST", "operate"),
                self._route("/v1/status", self._status, "GET", "read"),
                self._route("/v1/audit", self._audit, "GET", "read"),
                self._route("/v1/watch", self._watch, "GET", "read"),
                Mount("/metrics", metrics_app),
            ]
        )

    def _route(self, path, endpoint, method, lowest_role):
        async def authorized_endpoint(request):
            operator = self._find_operator(request)
            if RANK_BY_ROLE[operator.role] < RANK_BY_ROLE[lowest_role]:
                raise AlmonddealError(FORBIDDEN, f"the role {lowest_role} is needed")
            request.state.operator = operator
            return await endpoint(request)

        return Route(path, with_error_responses(authorized_endpoint), methods=[method])

    def _find_operator(self, request):
        _, _, token = request.headers.get("authorization", "").partition(" ")
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        for operator in self._entry.settings.operators:
            if operator.token_sha256 == digest:
                return operator
        raise AlmonddealError(UNAUTHENTICATED, "no valid token")

    async def _document(self, request):
        document = self._entry.document
        return JSONResponse({"version": document.version, "document": document.raw})

    async def _validate(self, request):
        raw = await _read_json(request)
        try:
            validate_document(raw.get("document"))
        except ExceptionGroup as group:
            return _invalid_response(group)
        return JSONResponse({"valid": True})

    async def _plan(self, request):
        raw = await _read_json(request)
        try:
            paths = self._entry.changes.paths_changed_by(raw.get("document"))
        except ExceptionGroup as group:
            return _invalid_response(group)
        version = self._entry.document.version
        planned = self._entry.plan_steps(FleetDocument(version + 1, raw["document"]))
        return JSONResponse(
            {
                "base_version": version,
                "changes": paths,
                "steps": [str(p.step) for p in planned],
                "lowest_slots": min((p.n_slots_left for p in planned), default=None),
            }
        )

    async def _apply(self, request):
        raw = await _read_json(request)
        change = Change(
            request.state.operator.name,
            _origin(request),
            raw.get("document"),
            _optional(raw, "base_version", int),
            _optional(raw, "change_id", str) or "",
            _optional(raw, "note", str) or "",
        )
        wait_ms = min(_optional(raw, "wait_ms", int) or 0, MAX_WAIT_MS)
        try:
            result = await self._entry.changes.submit_change(change)
        except ExceptionGroup as group:
            return _invalid_response(group)
        return await self._change_response(result, change.change_id, wait_ms)

    async def _change_response(self, result, change_id, wait_ms):
        code = CODE_BY_NUMBER[result.code]
        body = {
            "code": code.number,
            "name": code.name,
            "version": result.version,
            "detail": result.detail,
            "paths": result.paths,
            "author": result.author,
            "at_ms": result.at_ms,
            "change_id": change_id,
        }
        if code is OK and wait_ms:
            changes = self._entry.changes
            unconfirmed = await changes.wait_in_force(result.version, wait_ms)
            body["in_force"] = not unconfirmed
            body["missing"] = unconfirmed
        return JSONResponse(body, code.http_status)

    async def _drain(self, request):
        result = await self._entry.changes.drain(
            request.path_params["name"], request.state.operator.name, _origin(request)
        )
        return await self._change_response(result, "", DRAIN_WAIT_MS)

    async def _status(self, request):
        return JSONResponse(self._entry.status())

    async def _audit(self, request):
        since = request.query_params.get("since", "0")
        if not since.isdigit():
            raise AlmonddealError(BAD_REQUEST, "since: allowed are whole numbers")
        trail = self._entry.audit_trail()
        records = [record.as_dict() for record in trail.since(int(since))]
        return JSONResponse(
            {"records": records, "chain_broken": trail.first_broken_record()}
        )

    async def _watch(self, request):
        async def events():
            version = -1
            while True:
                await self._entry.replica.wait_newer(version)
                version = self._entry.document.version
                yield f"data: {json.dumps({'version': version})}\n\n"

        return StreamingResponse(events(), media_type="text/event-stream")


def _origin(request):
    return request.client.host if request.client else ""


async def _read_json(request):
    data = await read_body(request)
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError):
        raise AlmonddealError(BAD_REQUEST, "the body is not valid JSON") from None
    if not isinstance(raw, dict):
        raise AlmonddealError(BAD_REQUEST, "the body is not a JSON object")
    return raw


def _optional(raw, name, type_):
    value = raw.get(name)
    if value is not None and (not isinstance(value, type_) or isinstance(value, bool)):
        raise AlmonddealError(BAD_REQUEST, f"{name}: allowed is a {type_.__name__}")
    return value


def _invalid_response(group):
    error = AlmonddealError(DOCUMENT_INVALID, f"{len(group.exceptions)} errors")
    body = {**error.as_json(), "errors": validation_messages(group)}
    return JSONResponse(body, DOCUMENT_INVALID.http_status)
