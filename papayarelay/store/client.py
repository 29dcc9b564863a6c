"""Client of the table service (protocol: section 2.5 of the design document)."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import gevent
import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    EmptyPoolError,
    HTTPError,
    NewConnectionError,
)

from ..bucket import TokenBucket
from ..errors import (
    CheckFailedError,
    Outcome,
    RequestError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

TIMEOUT_S = 2.0
POOL_SIZE = 8
# Keep a runaway loop in one node from overloading the store; claims have their own
# limit.
READS_PER_S = 200.0
WRITES_PER_S = 200.0
# Burst size, as seconds of traffic at the rate limit.
BURST_S = 2.0
RETRY_AFTER_S = 1.0
# The wait for a pooled connection and the connect each get this fraction of the
# timeout, so that a failure before any byte was sent is recognised as such.
CONNECT_FRACTION = 0.4

PEER = "store"
# urllib3 raises these before any byte of the request was sent.
NOT_SENT_ERRORS = (NewConnectionError, ConnectTimeoutError, EmptyPoolError)


@dataclass(frozen=True)
class Row:
    """A row; ``version`` is the commit version of its last write."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True)
class Check:
    """A condition of a transaction; version 0 means that the row is absent."""

    key: str
    version: int


@dataclass(frozen=True)
class Write:
    """A write of a transaction; a value of None deletes the row."""

    key: str
    value: bytes | None


@dataclass(frozen=True)
class _Rows:
    rows: list[Row]


@dataclass(frozen=True)
class _Transaction:
    checks: Sequence[Check]
    writes: Sequence[Write]


@dataclass(frozen=True)
class _Committed:
    version: int


@dataclass(frozen=True)
class _Failed:
    failed: list[Check]


@dataclass(frozen=True)
class _Rejected:
    applied: bool = True


class TableClient:
    """Connection pool to the table service with rate limits on reads and writes.

    ``timeout_s`` bounds a whole call including the wait for a connection.
    Errors have the outcome ``unknown`` because a failure of the store alone
    does not confirm that a request was not executed.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float = TIMEOUT_S,
        *,
        pool_size: int = POOL_SIZE,
        reads_per_s: float = READS_PER_S,
        writes_per_s: float = WRITES_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._url = url
        self._timeout_s = timeout_s
        self._pool_size = pool_size
        self._clock = clock
        self._reads = TokenBucket(reads_per_s, max(1.0, reads_per_s * BURST_S))
        self._writes = TokenBucket(writes_per_s, max(1.0, writes_per_s * BURST_S))
        self._pool: urllib3.HTTPConnectionPool | None = None

    def start(self) -> None:
        """Open the connection pool; connections are made on first use."""
        self._pool = urllib3.connection_from_url(
            self._url, maxsize=self._pool_size, block=True
        )

    def close(self) -> None:
        """Close all connections."""
        if self._pool is not None:
            self._pool.close()
            self._pool = None

    def get(self, key: str, timeout_s: float | None = None) -> Row | None:
        """Return a row, None if it does not exist; raises StoreUnavailableError."""
        response = self._read("/rows", {"key": key}, timeout_s)
        if response.status == 404:
            return None
        return _decode_read(response, Row)

    def scan(
        self, prefix: str, limit: int, timeout_s: float | None = None
    ) -> list[Row]:
        """Return up to ``limit`` rows under ``prefix`` in key order.

        Raises StoreUnavailableError.
        """
        fields = {"prefix": prefix, "limit": str(limit)}
        return _decode_read(self._read("/scan", fields, timeout_s), _Rows).rows

    def transact(
        self,
        checks: Sequence[Check],
        writes: Sequence[Write],
        timeout_s: float | None = None,
    ) -> int:
        """Apply all writes if all checks hold; return the commit version.

        Raises CheckFailedError and StoreUnavailableError when nothing was
        applied, StoreOutcomeUnknownError when the writes may be applied, and
        RequestError when the service rejects the transaction as malformed.
        """
        _enforce_rate_limit(self._writes, self._clock(), "write")
        body = msgspec.json.encode(_Transaction(tuple(checks), tuple(writes)))
        headers = {"Content-Type": "application/json"}
        try:
            response = self._send(
                "POST", "/transact", timeout_s, body=body, headers=headers
            )
        except NOT_SENT_ERRORS as error:
            raise _unavailable(f"not sent: {error}", "write") from error
        except (HTTPError, OSError) as error:
            raise _outcome_unknown(f"no response: {error}") from error
        return _decode_commit(response)

    def _read(
        self, path: str, fields: dict[str, str], timeout_s: float | None
    ) -> urllib3.BaseHTTPResponse:
        _enforce_rate_limit(self._reads, self._clock(), "read")
        try:
            return self._send("GET", path, timeout_s, fields=fields)
        except (HTTPError, OSError) as error:
            raise _unavailable(f"no response: {error}", "read") from error

    def _send(
        self, method: str, path: str, timeout_s: float | None, **arguments
    ) -> urllib3.BaseHTTPResponse:
        if self._pool is None:
            raise _unavailable("the client is closed", "connect")
        limit_s = self._timeout_s if timeout_s is None else timeout_s
        connect_s = limit_s * CONNECT_FRACTION
        # urllib3 restarts its read timeout with each byte received; the outer
        # timeout bounds the whole call.
        with gevent.Timeout(limit_s, TimeoutError):
            return self._pool.request(
                method,
                path,
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(connect=connect_s, read=limit_s),
                pool_timeout=connect_s,
                **arguments,
            )


def _enforce_rate_limit(bucket: TokenBucket, now_s: float, step: str) -> None:
    if not bucket.take(now_s):
        raise StoreUnavailableError(
            f"rate limit of {bucket.rate_per_s:g} {step}s per second exceeded",
            step=step,
            peer=PEER,
            outcome=Outcome.UNKNOWN,
            retry_after_s=bucket.wait_s(now_s),
        )


def _decode_read(response: urllib3.BaseHTTPResponse, response_type: type):
    if response.status != 200:
        raise _unavailable(f"status {response.status}", "read")
    try:
        return msgspec.json.decode(response.data, type=response_type)
    except msgspec.MsgspecError as error:
        raise _unavailable(f"malformed response: {error}", "read") from error


def _decode_commit(response: urllib3.BaseHTTPResponse) -> int:
    try:
        if response.status == 200:
            return msgspec.json.decode(response.data, type=_Committed).version
        if response.status == 409:
            raise _check_failed(msgspec.json.decode(response.data, type=_Failed))
        if response.status == 503:
            _raise_if_not_applied(msgspec.json.decode(response.data, type=_Rejected))
    except msgspec.MsgspecError as error:
        raise _outcome_unknown(f"malformed response: {error}") from error
    if 400 <= response.status < 500:
        raise RequestError(
            f"the table service rejected the transaction: status {response.status}",
            step="write",
            peer=PEER,
            outcome=Outcome.UNKNOWN,
        )
    raise _outcome_unknown(f"status {response.status}")


def _raise_if_not_applied(rejected: _Rejected) -> None:
    if not rejected.applied:
        raise _unavailable("rejected by the table service", "write")


def _check_failed(answer: _Failed) -> CheckFailedError:
    keys = ", ".join(check.key for check in answer.failed)
    return CheckFailedError(
        f"checks failed: {keys}", step="write", peer=PEER, outcome=Outcome.UNKNOWN
    )


def _unavailable(message: str, step: str) -> StoreUnavailableError:
    return StoreUnavailableError(
        message,
        step=step,
        peer=PEER,
        outcome=Outcome.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    )


def _outcome_unknown(message: str) -> StoreOutcomeUnknownError:
    return StoreOutcomeUnknownError(
        message,
        step="write",
        peer=PEER,
        outcome=Outcome.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    )
