"""HTTP connections to one backend server."""

from __future__ import annotations

from collections.abc import Mapping

import gevent
import urllib3

CONNECT_TIMEOUT_S = 1.0
# An engine sends a keep-alive comment every second, so three missed ones mean
# that the connection has gone silent.
STREAM_IDLE_LIMIT_S = 3.5
# A pool that blocks would make short requests wait for the connections of long
# ones, so the pool only limits how many idle connections are kept.
IDLE_CONNECTIONS = 64


class BackendPool:
    """Keeps connections to one backend server; ``url`` is its base URL."""

    def __init__(self, backend_id: str, url: str):
        self.backend_id = backend_id
        self.url = url
        # Cancels on their way to the server, by request id.
        self.cancels: dict[str, gevent.Greenlet] = {}
        self._pool: urllib3.HTTPConnectionPool | None = None

    def start(self) -> None:
        """Create the pool; connections are opened when they are needed."""
        self._pool = urllib3.connection_from_url(
            self.url, maxsize=IDLE_CONNECTIONS, block=False, retries=False
        )

    def close(self) -> None:
        """Close the idle connections."""
        if self._pool is not None:
            self._pool.close()

    def drop_idle(self) -> None:
        """Replace all idle connections, after one of them has gone silent."""
        self.close()
        self.start()

    def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        read_timeout_s: float = STREAM_IDLE_LIMIT_S,
        stream: bool = False,
    ) -> urllib3.BaseHTTPResponse:
        """Send one request; a streamed response must be closed by its reader.

        Raises ``urllib3.exceptions.HTTPError`` for a failed exchange.
        """
        return self._pool.urlopen(
            method,
            path,
            body=body,
            headers=headers,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s),
            preload_content=not stream,
            retries=False,
            redirect=False,
        )
