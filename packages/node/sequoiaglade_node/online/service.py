"""Serves online requests: authentication, limits, attempts at endpoints."""

from sequoiaglade_decisions.keys import contains_key
from sequoiaglade_decisions.outcomes import Refusal, RefusalCode
from sequoiaglade_endpoints import SkippedHeaders

from ..web import json_response, refusal_response
from .work import Work, check_idempotency_key, parse_model_body

_MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")


class OnlineService:
    """Handles model calls, the list of models, and calls of plain services."""

    def __init__(self, holder, limits, runner, body_limit, journal):
        self._holder = holder
        self._limits = limits
        self._runner = runner
        self._body_limit = body_limit
        self._journal = journal

    def handle(self, request):
        """Return the `Response` to a request."""
        self._holder.await_confirmation(request.header("authorization"))
        snapshot = self._holder.current
        work = self._check(request, snapshot)
        if not isinstance(work, Refusal):
            work = self._admit(work)
        if isinstance(work, Refusal):
            self._journal.record(
                "online", request.request_id, work.code.code, "refused"
            )
            return refusal_response(work, request.request_id)
        return self._runner.respond(work, request.disconnected)

    def list_models(self, request):
        """Return the models that the caller's workspace may use."""
        header = request.header("authorization")
        self._holder.await_confirmation(header)
        snapshot = self._holder.current
        caller = self._holder.authenticate(header)
        if isinstance(caller, Refusal):
            return refusal_response(caller, request.request_id)
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "sequoiaglade"}
            for name, route in sorted(snapshot.route_by_model.items())
            if _may_use(route, caller.workspace)
        ]
        return json_response(200, {"object": "list", "data": models})

    def _check(self, request, snapshot):
        if request.path in _MODEL_PATHS:
            return self._check_model_call(request, snapshot)
        return self._check_service_call(request, snapshot)

    def _check_model_call(self, request, snapshot):
        if request.method != "POST":
            reason = f"{request.path} takes POST"
            return Refusal(RefusalCode.METHOD_NOT_ALLOWED, reason)
        header = request.header("authorization")
        caller = self._holder.authenticate(header) if header else None
        if isinstance(caller, Refusal):
            return caller
        body = request.read_body(self._body_limit)
        if isinstance(body, Refusal):
            return body
        parsed = parse_model_body(body)
        if isinstance(parsed, Refusal):
            return parsed
        model, is_stream = parsed
        route = snapshot.route_by_model.get(model)
        if route is None or not (route.open_to_all or caller):
            if caller is None:
                return self._holder.authenticate(None)
            return Refusal(RefusalCode.NOT_FOUND, f"there is no model {model!r}")
        return self._work(request, caller, route, body, is_stream)

    def _check_service_call(self, request, snapshot):
        route = snapshot.service_route(request.path)
        if route is None:
            return self._holder.missing_refusal(f"no route leads to {request.path}")
        header = request.header("authorization")
        caller = None
        if header or not route.open_to_all:
            caller = self._holder.authenticate(header)
        if isinstance(caller, Refusal):
            return caller
        body = request.read_body(self._body_limit)
        if isinstance(body, Refusal):
            return body
        return self._work(request, caller, route, body, False)

    def _work(self, request, caller, route, body, is_stream):
        workspace = caller.workspace if caller else None
        if not route.open_to_all and not _may_use(route, workspace):
            reason = f"workspace {workspace} has no route to {request.path}"
            return Refusal(RefusalCode.FORBIDDEN, reason)
        if contains_key(request.target):
            reason = "the path contains a key; keys belong in the Authorization header"
            return Refusal(RefusalCode.INVALID_REQUEST, reason)
        key = request.header("idempotency-key")
        refused = None if key is None else check_idempotency_key(key)
        if refused is not None:
            return refused
        return Work(
            request_id=request.request_id,
            workspace=workspace,
            target=route.model or route.service,
            route=route,
            method=request.method,
            path=request.target,
            headers=_forwarded_headers(request.headers),
            body=body,
            is_stream=is_stream,
            has_generated_id=request.has_generated_id,
            idempotency_key=key,
        )

    def _admit(self, work):
        if work.workspace is None:
            return work
        outcome = self._limits.admit(work.workspace)
        return outcome if isinstance(outcome, Refusal) else work


def _may_use(route, workspace):
    return route.workspaces is None or workspace in route.workspaces


def _forwarded_headers(headers):
    skipped = set(SkippedHeaders.ALL) | {"x-request-id", "idempotency-key"}
    named = headers.get("connection", "").lower().split(",")
    skipped.update(name.strip() for name in named)
    return tuple(
        (name, text)
        for name, text in headers.items()
        if name not in skipped and not contains_key(text)
    )
