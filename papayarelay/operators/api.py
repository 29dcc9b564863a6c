"""HTTP API for operators."""

from __future__ import annotations

import hmac
from collections.abc import Callable

import bottle
import msgspec

from ..callers.response import error_body
from ..errors import AuthenticationError, RelayError, RequestError, UnknownResourceError
from .actions import OperatorActions

BODY_LIMIT_BYTES = 64 << 10


class OperatorApi:
    """Serves status, drains, job look-ups and metrics.

    ``token`` is the operators' bearer token; /metrics and /healthz need none.
    """

    def __init__(
        self, actions: OperatorActions, token: str, render_metrics: Callable[[], bytes]
    ):
        self._actions = actions
        self._token = token.encode()
        self._render_metrics = render_metrics

    def create_app(self) -> bottle.Bottle:
        """Return the WSGI application."""
        app = bottle.Bottle()
        app.route("/healthz", "GET", lambda: "ok\n")
        app.route("/metrics", "GET", self._metrics)
        app.route("/operator/status", "GET", self._authenticated(self._status))
        app.route("/operator/drain", "POST", self._authenticated(self._drain))
        app.route("/operator/return", "POST", self._authenticated(self._return))
        app.route(
            "/operator/jobs/<member>/<kind>/<key:path>",
            "GET",
            self._authenticated(self._look_up_job),
        )
        return app

    def _metrics(self) -> bottle.HTTPResponse:
        headers = {"Content-Type": "text/plain; version=0.0.4"}
        return bottle.HTTPResponse(self._render_metrics(), 200, headers)

    def _authenticated(self, handler: Callable) -> Callable:
        """Wrap ``handler`` with the token check and the rendering of errors."""

        def handle(**arguments):
            try:
                self._authenticate()
                return bottle.HTTPResponse(handler(**arguments))
            except RelayError as error:
                headers = {"Content-Type": "application/json"}
                return bottle.HTTPResponse(error_body(error), error.status, headers)

        return handle

    def _authenticate(self) -> None:
        scheme, _, token = bottle.request.get_header("Authorization", "").partition(" ")
        if not self._token:
            raise AuthenticationError(
                "the settings name no operator_token_file",
                step="authenticate",
                peer="operator",
            )
        if scheme.lower() != "bearer" or not hmac.compare_digest(
            token.encode(), self._token
        ):
            raise AuthenticationError(
                "operator token is missing or wrong",
                step="authenticate",
                peer="operator",
            )

    def _status(self) -> dict:
        return self._actions.status()

    def _drain(self) -> dict:
        return self._actions.set_drained(_read_target(), True)

    def _return(self) -> dict:
        return self._actions.set_drained(_read_target(), False)

    def _look_up_job(self, member: str, kind: str, key: str) -> dict:
        job = self._actions.look_up_job(member, kind, key)
        if job is None:
            raise UnknownResourceError(
                "no record of this key", step="look_up", peer="store"
            )
        return job


class _Target(msgspec.Struct):
    name: str


def _read_target() -> str:
    """Parse the name of the data centre or backend server from the body."""
    body = bottle.request.environ["wsgi.input"].read(BODY_LIMIT_BYTES)
    try:
        return msgspec.json.decode(body, type=_Target).name
    except (msgspec.MsgspecError, RecursionError) as error:
        raise RequestError(str(error), step="parse", peer="operator") from error
