"""Parsing of JSON documents with comments; reports all errors at once."""

from __future__ import annotations

import difflib
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from urllib.parse import urlsplit

import pyjson5

from .errors import ABSENT, SettingsError

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}", re.ASCII)
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}", re.ASCII)
HOST_PATTERN = re.compile(r"[A-Za-z0-9.-]+|\[[0-9A-Fa-f:.]+\]", re.ASCII)
TOKEN_PATTERN = re.compile(
    r"""
    "(?:\\.|[^"\\])*"            # double-quoted string
    | '(?:\\.|[^'\\])*'          # single-quoted string
    | //[^\n\r\u2028\u2029]*     # comment to the end of the line
    | /\*.*?\*/                 # block comment
    | [{}\[\]:,]
    | [^\s{}\[\]:,"'/]+          # number, constant or bare key
    """,
    re.VERBOSE | re.DOTALL,
)
NAME_ALLOWED = "1 to 64 letters, digits, '_', '.' or '-', first a letter or digit"
ADDRESS_ALLOWED = "HOST:PORT with a port from 0 to 65535, such as 127.0.0.1:8080"
URL_ALLOWED = "http://HOST:PORT without path, query or user name"
MAX_NAME_LENGTH = 64
_REQUIRED = object()


class ErrorCollector:
    """Collects the validation errors of one document."""

    def __init__(self):
        self._errors: list[SettingsError] = []

    def __len__(self) -> int:
        return len(self._errors)

    def add(self, path: str, value: object, allowed: str, hint: str = "") -> None:
        """Record a validation error."""
        self._errors.append(SettingsError(path, value, allowed, hint))

    def raise_if_any(self, title: str) -> None:
        """Raise an exception group of SettingsError if any was recorded."""
        if self._errors:
            count = len(self._errors)
            noun = "mistake" if count == 1 else "mistakes"
            raise ExceptionGroup(f"{count} {noun} in {title}", self._errors)


def join_path(path: str, name: object) -> str:
    """Append the name of an entry to a path."""
    return f"{path}.{name}" if path else str(name)


def suggest(name: str, known: Iterable[str]) -> str:
    """Return a hint with the most similar known name, or an empty string."""
    # The matching takes quadratic time.
    if len(name) > MAX_NAME_LENGTH:
        return ""
    matches = difflib.get_close_matches(name, list(known), n=1, cutoff=0.0)
    return f"the closest match is {matches[0]!r}" if matches else ""


def decode_object(text: str, path: str, errors: ErrorCollector) -> dict[str, object]:
    """Decode a JSON object; record an error and return {} if that fails."""
    try:
        value = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        reason = str(error.args[0]) if error.args else type(error).__name__
        errors.add(path, text[:40], "a JSON object with comments", reason)
        return {}
    if not isinstance(value, dict):
        errors.add(path, value, "a JSON object")
        return {}
    for entry_path, name in find_duplicate_keys(text):
        errors.add(
            join_path(path, entry_path) if path else entry_path, name, "each key once"
        )
    return value


def find_duplicate_keys(text: str) -> list[tuple[str, str]]:
    """Return path and name of each duplicate key in a valid document.

    The decoder silently keeps the last of several equal keys.
    """
    duplicates = []
    stack: list[_OpenContainer] = []
    word = ""
    for token in TOKEN_PATTERN.findall(text):
        if token.startswith(("//", "/*")):
            continue
        if token in "{[":
            path = stack[-1].path() if stack else ""
            stack.append(_OpenContainer(token == "{", path))
        elif token in "}]":
            stack.pop()
        elif token == "," and stack:
            stack[-1].index += 1
        elif token == ":" and stack:
            frame = stack[-1]
            frame.name = pyjson5.decode(word if word[0] in "\"'" else f'"{word}"')
            if frame.name in frame.seen:
                duplicates.append((frame.path(), frame.name))
            frame.seen.add(frame.name)
        else:
            word = token
    return duplicates


@dataclass
class _OpenContainer:
    """An object or list whose end has not been reached."""

    is_object: bool
    parent: str
    name: str = ""
    index: int = 0
    seen: set[str] = field(default_factory=set)

    def path(self) -> str:
        """Return the path of the current entry."""
        return join_path(self.parent, self.name if self.is_object else self.index)


def is_address(value: str, min_port: int = 0) -> bool:
    """Return whether a text is HOST:PORT."""
    host, _, port = value.rpartition(":")
    if not (HOST_PATTERN.fullmatch(host) and port.isascii() and port.isdigit()):
        return False
    return len(port) <= 5 and min_port <= int(port) <= 65535


def is_url(value: str) -> bool:
    """Return whether a text is http://HOST:PORT without path or query."""
    try:
        parts = urlsplit(value)
    except ValueError:
        return False
    return value == f"http://{parts.netloc}" and is_address(parts.netloc, 1)


class ObjectReader:
    """Reads and validates the entries of one object.

    ``reject_unknown_keys`` reports the entries that were not read as unknown keys.
    """

    def __init__(self, value: object, path: str, errors: ErrorCollector):
        self._path = path
        self._errors = errors
        self._known: list[str] = []
        if not isinstance(value, dict):
            errors.add(path, value, "an object")
            value = {}
            self._invalid = True
        else:
            self._invalid = False
        self._entries: Mapping[str, object] = value

    def reject_unknown_keys(self) -> None:
        """Record an error for each entry that was not read."""
        for name in self._entries:
            if name in self._known:
                continue
            path = join_path(self._path, name)
            hint = suggest(name, self._known)
            self._errors.add(path, name, "only known keys", hint)

    def text(self, name: str, default: object = _REQUIRED) -> str:
        """Return a string of 1 to 4096 characters; the default may be empty."""
        return self._read(name, default, _is_text, "a non-empty string", "")

    def name(self, name: str, default: object = _REQUIRED) -> str:
        """Return a valid name."""
        return self._read(name, default, _is_name, NAME_ALLOWED, "")

    def address(self, name: str, default: object = _REQUIRED) -> str:
        """Return an address of the form HOST:PORT."""
        return self._read(
            name,
            default,
            lambda value: isinstance(value, str) and is_address(value),
            ADDRESS_ALLOWED,
            "",
        )

    def url(self, name: str, default: object = _REQUIRED) -> str:
        """Return a URL of the form http://HOST:PORT."""
        return self._read(
            name,
            default,
            lambda value: isinstance(value, str) and is_url(value),
            URL_ALLOWED,
            "",
        )

    def choice(
        self, name: str, choices: tuple[str, ...], default: object = _REQUIRED
    ) -> str:
        """Return one of ``choices``."""
        value = self._entries.get(name)
        hint = suggest(value, choices) if isinstance(value, str) else ""
        return self._read(
            name,
            default,
            lambda value: isinstance(value, str) and value in choices,
            f"one of {', '.join(choices)}",
            choices[0],
            hint=hint,
        )

    def boolean(self, name: str, default: object = _REQUIRED) -> bool:
        """Return a boolean."""
        return self._read(
            name,
            default,
            lambda value: isinstance(value, bool),
            "true or false",
            False,
        )

    def integer(
        self, name: str, minimum: int, maximum: int, default: object = _REQUIRED
    ) -> int:
        """Return an integer from ``minimum`` to ``maximum``."""
        return self._read(
            name,
            default,
            lambda value: type(value) is int and minimum <= value <= maximum,
            f"an integer from {minimum} to {maximum}",
            minimum,
        )

    def number(
        self, name: str, minimum: float, maximum: float, default: object = _REQUIRED
    ) -> float:
        """Return a number from ``minimum`` to ``maximum``."""
        value = self._read(
            name,
            default,
            lambda value: type(value) in (int, float) and minimum <= value <= maximum,
            f"a number from {minimum:g} to {maximum:g}",
            minimum,
        )
        return float(value)

    def texts(
        self, name: str, pattern: re.Pattern[str], allowed: str
    ) -> tuple[str, ...]:
        """Return a list of distinct strings that match; empty if missing."""
        self._known.append(name)
        values = self._entries.get(name, [])
        path = join_path(self._path, name)
        if not isinstance(values, list):
            self._errors.add(path, values, "a list of strings")
            return ()
        good: list[str] = []
        for index, value in enumerate(values):
            entry_path = join_path(path, index)
            if not isinstance(value, str) or not pattern.fullmatch(value):
                self._errors.add(entry_path, value, allowed)
            elif value in good:
                self._errors.add(entry_path, value, "each entry once")
            else:
                good.append(value)
        return tuple(good)

    def objects(self, name: str) -> dict[str, ObjectReader]:
        """Return a reader by name for each entry of an object; empty if missing."""
        self._known.append(name)
        path = join_path(self._path, name)
        return read_objects(self._entries.get(name, {}), path, self._errors)

    def _read(self, name, default, accept, allowed, placeholder, *, hint=""):
        self._known.append(name)
        path = join_path(self._path, name)
        if name not in self._entries:
            if default is not _REQUIRED:
                return default
            if not self._invalid:
                self._errors.add(path, ABSENT, allowed)
            return placeholder
        value = self._entries[name]
        if accept(value):
            return value
        self._errors.add(path, value, allowed, hint)
        return placeholder


def read_objects(
    value: object, path: str, errors: ErrorCollector
) -> dict[str, ObjectReader]:
    """Return a reader for each entry of an object whose keys are names."""
    if not isinstance(value, dict):
        errors.add(path, value, "an object")
        return {}
    readers = {}
    for name, entry in value.items():
        if not _is_name(name):
            errors.add(join_path(path, name), name, NAME_ALLOWED)
        readers[name] = ObjectReader(entry, join_path(path, name), errors)
    return readers


def _is_text(value: object) -> bool:
    return isinstance(value, str) and 0 < len(value) <= 4096 and value.isprintable()


def _is_name(value: object) -> bool:
    return isinstance(value, str) and NAME_PATTERN.fullmatch(value) is not None
