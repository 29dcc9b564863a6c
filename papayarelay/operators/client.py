"""HTTP client of the operator API."""

from __future__ import annotations

import json
from pathlib import Path
from urllib.parse import quote

import urllib3

from .command import CommandError, ExitCode

TIMEOUT_S = 5.0


class OperatorClient:
    """Calls the operator API of one node; raises CommandError on failure."""

    def __init__(self, address: str, token: str, timeout_s: float = TIMEOUT_S):
        self._address = address
        self._headers = {"Authorization": f"Bearer {token}"}
        self._pool = urllib3.PoolManager(
            timeout=urllib3.Timeout(total=timeout_s), retries=False
        )

    def status(self) -> dict:
        """Return the status of the node."""
        return self._call("GET", "/operator/status")

    def drain(self, name: str) -> dict:
        """Take a data centre or backend server out of service."""
        return self._call("POST", "/operator/drain", {"name": name})

    def return_to_service(self, name: str) -> dict:
        """Return a drained data centre or backend server to service."""
        return self._call("POST", "/operator/return", {"name": name})

    def look_up_job(self, member: str, kind: str, key: str) -> dict:
        """Return the record of an idempotency key."""
        parts = (quote(part, safe="") for part in (member, kind, key))
        return self._call("GET", f"/operator/jobs/{'/'.join(parts)}")

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def _call(self, method: str, path: str, body: dict | None = None) -> dict:
        url = f"http://{self._address}{path}"
        try:
            response = self._pool.request(
                method, url, json=body, headers=self._headers, redirect=False
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise self._connection_error(error, changes=method == "POST") from error
        return self._decode(response)

    def _decode(self, response: urllib3.BaseHTTPResponse) -> dict:
        try:
            payload = json.loads(response.data)
        except ValueError:
            payload = None
        if response.status == 200 and isinstance(payload, dict):
            return payload
        error = payload.get("error") if isinstance(payload, dict) else None
        reason = error.get("message") if isinstance(error, dict) else None
        message = reason or f"unexpected response with status {response.status}"
        raise CommandError(
            f"node at {self._address}: {message}", self._advise(response.status)
        )

    def _advise(self, status: int) -> str:
        if status == 401:
            return "Pass the file named as operator_token_file in the node's settings."
        if status == 404:
            return (
                "Check the spelling. 'papayarelay status' lists backend servers, and"
                " jobs are kept for 24 h."
            )
        if status == 503:
            return "Try again in a few seconds, or ask another node."
        return "Check that --node is the operator_address of a node of this version."

    def _connection_error(self, error: Exception, changes: bool) -> CommandError:
        not_sent = isinstance(
            error,
            urllib3.exceptions.NewConnectionError
            | urllib3.exceptions.ConnectTimeoutError,
        )
        if changes and not not_sent:
            return CommandError(
                f"no response from the node at {self._address}: {type(error).__name__}",
                "The change may have been made: check with 'papayarelay status'.",
                ExitCode.UNCERTAIN,
            )
        return CommandError(
            f"cannot reach a node at {self._address}: {type(error).__name__}",
            "Check that the node is running and that --node is its operator_address.",
            ExitCode.UNREACHABLE,
        )


def read_token(path: str) -> str:
    """Read the operator token from a file."""
    try:
        token = Path(path).read_text(encoding="utf-8").strip()
    except (OSError, ValueError) as error:
        raise CommandError(
            f"cannot read the token file {path}: {error}",
            "Pass --token-file with a file that contains the operator token.",
        ) from error
    if not (token and token.isascii() and token.isprintable()):
        raise CommandError(
            f"the token file {path} holds no token",
            "Write the operator token into it as one line of printable ASCII.",
        )
    return token
