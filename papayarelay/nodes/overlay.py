"""Overlay network policies, which select the peers that a node links to.

``FixedOverlay`` combines a ring and a matching per data centre, a matching between
the data centres of a region and a matching between regions; urgent records are
flooded over it.  A ring with a random matching has a diameter of about log2(n).
Source: B. Bollobas and F. Chung, The Diameter of a Cycle plus a Random
Matching, 1988.  ``RandomGossip`` selects new random peers in every epoch.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import singledispatch

from .view import Peer
from .watch import rendezvous_weight


@dataclass(frozen=True)
class FixedOverlay:
    """Ring and matchings; the matchings change every ``epoch_s`` of wall time."""

    epoch_s: float = 3_600.0


@dataclass(frozen=True)
class RandomGossip:
    """``fanout`` random peers of the data centre and one of all others."""

    fanout: int = 2
    epoch_s: float = 10.0


POLICIES: dict[str, Callable[[], object]] = {
    "fixed_overlay": FixedOverlay,
    "random_gossip": RandomGossip,
}


@singledispatch
def neighbours(
    policy: object, own: Peer, peers: Sequence[Peer], epoch: int, rng: random.Random
) -> set[str]:
    """Return the names of the peers to link to."""
    raise TypeError(f"unknown overlay policy {policy!r}")


@neighbours.register
def _fixed_neighbours(
    policy: FixedOverlay,
    own: Peer,
    peers: Sequence[Peer],
    epoch: int,
    rng: random.Random,
) -> set[str]:
    nodes = [own, *peers]
    local = [node for node in nodes if node.data_centre == own.data_centre]
    region = [node for node in nodes if node.region == own.region]
    chosen = _ring(own, local)
    chosen |= _match_in_data_centre(own, local, epoch)
    chosen |= _match_data_centres(own, region, epoch)
    chosen |= _match_regions(own, nodes, epoch)
    chosen.discard(own.name)
    return chosen


@neighbours.register
def _random_neighbours(
    policy: RandomGossip,
    own: Peer,
    peers: Sequence[Peer],
    epoch: int,
    rng: random.Random,
) -> set[str]:
    local = [p.name for p in peers if p.data_centre == own.data_centre]
    other = [p.name for p in peers if p.data_centre != own.data_centre]
    chosen = set(rng.sample(local, min(policy.fanout, len(local))))
    chosen.update(rng.sample(other, min(1, len(other))))
    return chosen


def _hash_order(nodes: Iterable[Peer], salt: str) -> list[str]:
    names = [node.name for node in nodes]
    return sorted(names, key=lambda name: (rendezvous_weight(name, salt), name))


def _ring(own: Peer, local: Sequence[Peer]) -> set[str]:
    order = _hash_order(local, "ring")
    position = order.index(own.name)
    return {order[position - 1], order[(position + 1) % len(order)]}


def _match_in_data_centre(own: Peer, local: Sequence[Peer], epoch: int) -> set[str]:
    order = _hash_order(local, f"chord/{epoch}")
    position = order.index(own.name)
    partner = position ^ 1
    return {order[partner % len(order)]}


def _match_data_centres(own: Peer, region: Sequence[Peer], epoch: int) -> set[str]:
    groups: dict[str, list[str]] = {}
    for node in region:
        groups.setdefault(node.data_centre, []).append(node)
    if len(groups) < 2:
        return set()
    columns = {
        name: _hash_order(members, f"data centre/{epoch}")
        for name, members in groups.items()
    }
    return _match_columns(own.name, columns)


def _match_regions(own: Peer, nodes: Sequence[Peer], epoch: int) -> set[str]:
    groups: dict[str, list[Peer]] = {}
    for node in nodes:
        groups.setdefault(node.region, []).append(node)
    if len(groups) < 2:
        return set()
    columns = {
        name: _hash_order(members, f"region/{epoch}")
        for name, members in groups.items()
    }
    return _match_columns(own.name, columns)


def _match_columns(own_name: str, columns: dict[str, list[str]]) -> set[str]:
    """Return the partners of a node in a matching across columns.

    Nodes of the two longest columns are paired until one column is left; its
    remaining nodes link to nodes of the other columns, in order.
    """
    rest = {name: list(members) for name, members in columns.items()}
    while True:
        first, second = sorted(rest, key=lambda name: (-len(rest[name]), name))[:2]
        if not rest[second]:
            break
        pair = {rest[first].pop(), rest[second].pop()}
        if own_name in pair:
            return pair - {own_name}
    others = [m for name in sorted(columns) if name != first for m in columns[name]]
    return {others[rest[first].index(own_name) % len(others)]}
