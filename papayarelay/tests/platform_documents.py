"""Sample documents in the platform's formats for tests."""

from __future__ import annotations

HOST = "h.example"


def make_document(version: int = 1, **changes: object) -> dict:
    """Return a configuration document as operators write it."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-stream",
                "host": HOST,
                "prefix": "/stream/",
                "kind": "streaming",
                "timeout_ms": 10_000,
                "target_latency_ms": 300,
                "priority": 1,
                "traffic_split": [
                    {"service": "model", "weight": 90},
                    {"service": "model-2", "weight": 10},
                ],
                "max_attempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "gap_aim_ms": 250,
            },
            {
                "name": "r-job",
                "host": HOST,
                "prefix": "/job/",
                "kind": "non_idempotent",
                "timeout_ms": 1500,
                "target_latency_ms": 400,
                "priority": 2,
                "service": "plain",
                "max_attempts": 1,
                "public": False,
            },
        ],
        "services": [
            {
                "name": "model",
                "health_path": "/healthz",
                "max_connections": 424,
                "cold_start_s": 3.0,
                "cold_per_s": 36.0,
                "engine": {
                    "slots": 8,
                    "kv_tokens": 315_000,
                    "stride": 51,
                    "step_ms": 0.85,
                    "per_seq_ms": 0.0085,
                    "context_per_k": 0.00285,
                    "read_per_s": 177_000.0,
                    "pairs_per_m": 0.184,
                    "chunk": 2048,
                    "usual": {"prompt": 11_112, "answer": 1_622},
                    "hop_ms": 0.05,
                },
            },
            {"name": "plain", "health_path": "/healthz", "max_connections": 96},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "office", "api_keys": ["k1", "k2"], "priority": 3}],
        **changes,
    }


def make_entry(service: str = "model", **changes: object) -> dict:
    """Return a backend server's entry in the server list."""
    return {
        "service": service,
        "address": "10.0.0.9:8080",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "stage": "colocated",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "sequence": 4,
        "born": 1_700_000_000_000,
        **changes,
    }


def make_settings(
    name: str = "edge-a-1",
    ip: str = "127.0.0.1",
    zone: str = "a",
    store: str = "127.0.0.1:8223",
) -> str:
    """Return the text of a node's settings file."""
    return f"""
node_name = "{name}"
role = "relay"
ip = "{ip}"
zone = "{zone}"
region = "r"
internal_ports = [7340, 7355]
seeds = []
heartbeat_ms = 1200
a_new_field = {{ x = 1 }}

[listen]
front = "{ip}:8227"
readiness = "{ip}:8220"

[bounds]
drain_ms = 2000
grace_s = 8
config_ms = 2000
revoke_ms = 5000
revoke_when_partitioned = true
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 100
hold_max_ms = 20000

[platform]
address = "{store}"
"""


SETTINGS = make_settings()
