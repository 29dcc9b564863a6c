"""Specification of configuration versions (``store/sections.py``, ``ConfigState``).

Each editor changes one section; the table service checks the versions of the section
row and the version row.  Nodes apply, in any order, full snapshots that were read from
the store or sent by a peer at any earlier time, and changes from one version to
another (``ConfigChange``).  An editor that gives up or crashes needs no transition of
its own: it takes no further one, and its messages may still take effect.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from itertools import combinations
from typing import NamedTuple

from .checker import Step


class EditorPhase(enum.IntEnum):
    """Control state of an editor."""

    IDLE = 0
    READ = 1
    PREPARED = 2
    SENT = 3
    UNKNOWN_OUTCOME = 4
    EDIT_NOT_FOUND = 5
    RECHECKING = 6
    ACCEPTED = 7
    REJECTED = 8


class VersionFault(enum.Enum):
    """Seeded faults: mistakes that the protocol excludes and the checker must find."""

    VERSION_ROW_UNCHECKED = "version row not checked"
    BASE_UNCHECKED = "base of an edit not checked"
    REPEAT_UNCHECKED = (
        "edit retried after a lost response without a check of the history"
    )
    VERSION_BY_TIME = "version compared by time"
    CHANGE_ON_ANY_BASE = "change applied on another base"


class Transaction(NamedTuple):
    """An edit with the row versions that it checks."""

    version: int
    section_row: int
    version_row: int
    applied: bool = False


class Editor(NamedTuple):
    """An editor of one section; ``base`` is the version that it has read.

    ``pending_version`` is the version of a transaction without a response, or 0.
    """

    section: int
    phase: EditorPhase = EditorPhase.IDLE
    base: int = 0
    prepared: Transaction | None = None
    sent: tuple[Transaction, ...] = ()
    pending_version: int = 0
    accepted_version: int = 0


class Node(NamedTuple):
    """Configuration of a node; ``highest`` is its highest version since its start."""

    version: int = 0
    content: tuple[int, ...] = ()
    highest: int = 0


class State(NamedTuple):
    """Global state: rows of the store, editors and nodes.

    The content of a section is the index of its last editor.  ``history`` and
    ``contents`` list the editor and the content of each version.  ``fault`` describes
    a property that a commit has violated.
    """

    content: tuple[int, ...]
    section_rows: tuple[int, ...]
    version: int
    version_row: int
    history: tuple[int, ...]
    contents: tuple[tuple[int, ...], ...]
    editors: tuple[Editor, ...]
    nodes: tuple[Node, ...]
    restarts: int
    fault: str = ""


class VersionSpecification:
    """Edits of sections and their propagation to nodes."""

    def __init__(
        self,
        editor_sections: tuple[int, ...] = (0, 0, 1),
        nodes: int = 2,
        restarts: int = 1,
        fault: VersionFault | None = None,
    ):
        self._editor_sections = editor_sections
        self._nodes = nodes
        self._restarts = restarts
        self._fault = fault

    def initial(self) -> State:
        """Return the initial state, without edits."""
        sections = max(self._editor_sections) + 1
        editors = tuple(Editor(section) for section in self._editor_sections)
        nodes = (Node(content=(-1,) * sections),) * self._nodes
        empty = (-1,) * sections
        return State(
            empty, (0,) * sections, 0, 0, (), (), editors, nodes, self._restarts
        )

    def steps(self, state: State) -> Iterator[tuple[Step, State]]:
        """Yield the enabled transitions and their successor states."""
        for index, editor in enumerate(state.editors):
            for transaction in editor.sent:
                if self._checks_hold(state, editor, transaction):
                    step = Step("commit", f"editor {index}")
                    yield step, _commit(state, index, transaction)
            for name, after in self._editor_steps(state, index, editor):
                yield Step(name, f"editor {index}"), _with_editor(state, index, after)
        for index, node in enumerate(state.nodes):
            yield from self._node_steps(state, index, node)

    def violation(self, state: State) -> str | None:
        """Describe the property that a state violates, or return None."""
        if state.fault:
            return state.fault
        found = (
            *(_editor_violation(state, i) for i in range(len(state.editors))),
            *(_node_violation(state, i) for i in range(len(state.nodes))),
        )
        return next(filter(None, found), None)

    def _checks_hold(
        self, state: State, editor: Editor, transaction: Transaction
    ) -> bool:
        if transaction.applied:
            return False
        if transaction.section_row != state.section_rows[editor.section]:
            return False
        unchecked = self._fault is VersionFault.VERSION_ROW_UNCHECKED
        return unchecked or transaction.version_row == state.version_row

    def _editor_steps(
        self, state: State, index: int, editor: Editor
    ) -> Iterator[tuple[str, Editor]]:
        phase = editor.phase
        if phase in (EditorPhase.ACCEPTED, EditorPhase.REJECTED):
            return
        if phase is EditorPhase.IDLE:
            read = editor._replace(phase=EditorPhase.READ, base=state.version)
            yield "read", read
        elif phase is EditorPhase.READ:
            yield self._prepare(state, editor)
        elif phase is EditorPhase.PREPARED:
            yield "send", _send(editor)
        elif phase is EditorPhase.SENT:
            yield from self._responses(state, editor)
        else:
            yield self._check_history(state, index, editor)

    def _prepare(self, state: State, editor: Editor) -> tuple[str, Editor]:
        edits = enumerate(state.history, 1)
        changed = any(
            version > editor.base and state.editors[other].section == editor.section
            for version, other in edits
        )
        if changed and self._fault is not VersionFault.BASE_UNCHECKED:
            return "find a conflict", editor._replace(phase=EditorPhase.REJECTED)
        return "prepare", _prepared(state, editor)

    def _responses(self, state: State, editor: Editor) -> Iterator[tuple[str, Editor]]:
        transaction = editor.sent[-1]
        if transaction.applied:
            yield "confirmed", _accepted(editor, transaction.version)
        repeated = bool(editor.pending_version)
        failed = not self._checks_hold(state, editor, transaction)
        if failed and (repeated or not transaction.applied):
            phase = (
                EditorPhase.UNKNOWN_OUTCOME
                if editor.pending_version
                else EditorPhase.READ
            )
            yield "check failed", editor._replace(phase=phase)
        if self._fault is VersionFault.REPEAT_UNCHECKED:
            yield "no response", editor._replace(phase=EditorPhase.READ)
        else:
            yield (
                "no response",
                editor._replace(
                    phase=EditorPhase.UNKNOWN_OUTCOME,
                    pending_version=transaction.version,
                ),
            )

    def _check_history(
        self, state: State, index: int, editor: Editor
    ) -> tuple[str, Editor]:
        version = editor.pending_version
        if editor.phase is EditorPhase.EDIT_NOT_FOUND:
            if state.version < version:
                return "read an older version", _prepared(state, editor)
            return (
                "read a newer version",
                editor._replace(phase=EditorPhase.RECHECKING),
            )
        if state.version >= version and state.history[version - 1] == index:
            return "find its edit", _accepted(editor, version)
        if editor.phase is EditorPhase.UNKNOWN_OUTCOME:
            return "find no edit", editor._replace(phase=EditorPhase.EDIT_NOT_FOUND)
        return (
            "find another edit",
            editor._replace(phase=EditorPhase.READ, pending_version=0),
        )

    def _node_steps(
        self, state: State, index: int, node: Node
    ) -> Iterator[tuple[Step, State]]:
        actor = f"node {index}"
        if node.version and state.restarts:
            fresh = Node(content=(-1,) * len(state.content))
            after = _with_node(state, index, fresh)
            yield Step("restart", actor), after._replace(restarts=state.restarts - 1)
        by_time = self._fault is VersionFault.VERSION_BY_TIME
        for version in range(1, state.version + 1):
            if version > node.version or by_time:
                taken = _with_version(node, version, state.contents[version - 1])
                step = Step("take version", actor, str(version))
                yield step, _with_node(state, index, taken)
        any_base = self._fault is VersionFault.CHANGE_ON_ANY_BASE
        for base, version in combinations(range(1, state.version + 1), 2):
            if base == node.version or (any_base and 0 < node.version <= base):
                old, new = state.contents[base - 1], state.contents[version - 1]
                content = _apply_delta(node.content, old, new)
                taken = _with_version(node, version, content)
                step = Step("apply the change", actor, f"from {base} to {version}")
                yield step, _with_node(state, index, taken)


def _editor_violation(state: State, index: int) -> str | None:
    editor = state.editors[index]
    version = editor.accepted_version
    if version and state.history[version - 1] != index:
        return f"the accepted edit of editor {index} is lost"
    if editor.phase is EditorPhase.REJECTED and index in state.history:
        return f"the edit of editor {index} was rejected and took effect"
    if state.history.count(index) > 1:
        return f"the edit of editor {index} took effect twice"
    return None


def _node_violation(state: State, index: int) -> str | None:
    node = state.nodes[index]
    if node.version < node.highest:
        return f"node {index} went back to version {node.version}"
    if node.version and node.content != state.contents[node.version - 1]:
        return f"node {index} has the wrong content for version {node.version}"
    return None


def _apply_delta(
    content: tuple[int, ...], old: tuple[int, ...], new: tuple[int, ...]
) -> tuple[int, ...]:
    triples = zip(content, old, new, strict=True)
    return tuple(n if n != o else c for c, o, n in triples)


def _with_version(node: Node, version: int, content: tuple[int, ...]) -> Node:
    return Node(version, content, max(version, node.highest))


def _prepared(state: State, editor: Editor) -> Editor:
    transaction = Transaction(
        state.version + 1, state.section_rows[editor.section], state.version_row
    )
    return editor._replace(phase=EditorPhase.PREPARED, prepared=transaction)


def _send(editor: Editor) -> Editor:
    """Send the prepared transaction; a retry resends the same message."""
    sent = editor.sent
    if editor.prepared not in sent:
        same = editor.prepared._replace(applied=True)
        others = tuple(t for t in sent if t != same)
        last = same if same in sent else editor.prepared
        sent = (*others, last)
    return editor._replace(phase=EditorPhase.SENT, sent=sent, prepared=None)


def _accepted(editor: Editor, version: int) -> Editor:
    return editor._replace(phase=EditorPhase.ACCEPTED, accepted_version=version)


def _commit(state: State, index: int, transaction: Transaction) -> State:
    editor = state.editors[index]
    section, version = editor.section, transaction.version
    commit = state.version_row + 1
    content = _replaced(state.content, section, index)
    sent = tuple(
        t._replace(applied=True) if t == transaction else t for t in editor.sent
    )
    fault = ""
    if version <= state.version:
        fault = f"the version went from {state.version} to {version}"
    elif any(
        state.editors[other].section == section
        for other in state.history[editor.base :]
    ):
        fault = f"editor {index} overwrote an edit that it has not read"
    return _with_editor(state, index, editor._replace(sent=sent))._replace(
        content=content,
        section_rows=_replaced(state.section_rows, section, commit),
        version=version,
        version_row=commit,
        history=(*state.history[: version - 1], index),
        contents=(*state.contents[: version - 1], content),
        fault=fault,
    )


def _with_editor(state: State, index: int, editor: Editor) -> State:
    return state._replace(editors=_replaced(state.editors, index, editor))


def _with_node(state: State, index: int, node: Node) -> State:
    return state._replace(nodes=_replaced(state.nodes, index, node))


def _replaced(values: tuple, index: int, value) -> tuple:
    return (*values[:index], value, *values[index + 1 :])
