"""Partitions the nodes of a large fleet into groups and assigns engines to them.

Nodes broadcast their in-flight work only within their group, because a broadcast to
the whole fleet costs each node CPU time and bytes that grow with the fleet.  Groups
are formed within a data centre, and each engine serves one group.  A small fleet is
a single group.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass

from ..routing import assign_homes

GROUP_NODES = 24
# A fleet of up to this many nodes is a single group across all data centres.
LARGEST_FLEET = 16
# A group with less than this fraction of its fair share of the engines gets others.
LEAST_PART = 0.8


@dataclass(frozen=True)
class Group:
    """Nodes that share engines, in the order of their rank."""

    name: str
    data_centre: str
    nodes: tuple[str, ...]


def divide(nodes: Mapping[str, str]) -> tuple[Group, ...]:
    """Return the groups of the nodes; ``nodes`` maps node names to data centres.

    The result depends only on the set of nodes, and adding or removing a node moves
    few of the others.
    """
    if len(nodes) <= LARGEST_FLEET:
        return (Group("all", "", _ranked(nodes)),)
    groups = []
    for data_centre in sorted(set(nodes.values())):
        names = _ranked({n for n, place in nodes.items() if place == data_centre})
        count = max(1, round(len(names) / GROUP_NODES))
        for index in range(count):
            first = index * len(names) // count
            last = (index + 1) * len(names) // count
            name = f"{data_centre}/{index}"
            groups.append(Group(name, data_centre, names[first:last]))
    return tuple(groups)


def engines_of(
    own: Group, groups: tuple[Group, ...], engines: Mapping[str, str]
) -> frozenset[str] | None:
    """Return the engines of a group, or None for all.

    ``engines`` maps engine ids to data centres.  An engine serves a group of its data
    centre, or any group if there is none.  A group that would have far less than its
    fair share, because a data centre has lost its engines or is evacuated, gets
    engines of the groups that have the most.
    """
    if len(groups) == 1:
        return None
    parts: dict[str, set[str]] = {group.name: set() for group in groups}
    for data_centre in sorted(set(engines.values())):
        ids = sorted(each for each, place in engines.items() if place == data_centre)
        names = [g.name for g in groups if g.data_centre == data_centre]
        homes = assign_homes(ids, names or list(parts), 1)
        for engine_id, homed in homes.items():
            for name in homed:
                parts[name].add(engine_id)
    _level(groups, parts)
    return frozenset(parts[own.name])


def _level(groups: tuple[Group, ...], parts: dict[str, set[str]]) -> None:
    """Move engines to groups below ``LEAST_PART`` of their fair share."""
    total = sum(len(part) for part in parts.values())
    nodes = sum(len(group.nodes) for group in groups)
    fair = {group.name: total * len(group.nodes) / nodes for group in groups}
    for poor in sorted(parts):
        while len(parts[poor]) + 1 <= LEAST_PART * fair[poor]:
            rich = max(sorted(parts), key=lambda name: len(parts[name]) / fair[name])
            if len(parts[rich]) - 1 < fair[rich]:
                break
            moved = max(parts[rich], key=lambda each: _weight(poor, each))
            parts[rich].remove(moved)
            parts[poor].add(moved)


def may_use_cold(own: str, nodes: tuple[str, ...], server_id: str, most: int) -> bool:
    """Return whether a node is among the ``most`` that may use a cold server."""
    ranked = sorted(nodes, key=lambda name: _weight(server_id, name))
    return own in ranked[:most]


def _weight(first: str, second: str) -> int:
    return zlib.crc32(f"{first}/{second}".encode())


def _ranked(names) -> tuple[str, ...]:
    return tuple(sorted(names, key=lambda name: (zlib.crc32(name.encode()), name)))
