"""Shell completion, generated from the argument parser."""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from dataclasses import dataclass

_BASH = """\
_papayarelay() {{
    local word path=""
    for word in "${{COMP_WORDS[@]:1:COMP_CWORD-1}}"; do
        case "$path $word" in
            {commands}) path="$path $word" ;;
        esac
    done
    local words="" options=""
    case "$path" in
{cases}
    esac
    case "${{COMP_WORDS[COMP_CWORD]}}" in
        -*) words="$options" ;;
    esac
    COMPREPLY=($(compgen -W "$words" -- "${{COMP_WORDS[COMP_CWORD]}}"))
    if [ ${{#COMPREPLY[@]}} -eq 0 ]; then
        COMPREPLY=($(compgen -f -- "${{COMP_WORDS[COMP_CWORD]}}"))
    fi
}}
complete -F _papayarelay papayarelay
"""
_ZSH_HEAD = (
    "autoload -U +X compinit && compinit\nautoload -U +X bashcompinit\nbashcompinit\n"
)


def render_completion(parser: argparse.ArgumentParser, shell: str) -> str:
    """Return the completion script for ``bash`` or ``zsh``."""
    entries = list(_list_commands(parser, ""))
    commands = "|".join(f'"{entry.path}"' for entry in entries if entry.path)
    cases = "\n".join(
        f'        "{entry.path}") words="{" ".join(entry.words)}"'
        f' options="{" ".join(entry.options)}" ;;'
        for entry in entries
    )
    script = _BASH.format(commands=commands, cases=cases)
    return _ZSH_HEAD + script if shell == "zsh" else script


@dataclass(frozen=True)
class _Command:
    """A path of subcommands with the words and options that may follow it."""

    path: str
    words: list[str]
    options: list[str]


def _list_commands(parser: argparse.ArgumentParser, path: str) -> Iterator[_Command]:
    command = _Command(path, [], [])
    nested: dict[str, argparse.ArgumentParser] = {}
    for action in parser._actions:
        command.options.extend(o for o in action.option_strings if o[:2] == "--")
        if isinstance(action, argparse._SubParsersAction):
            nested |= action.choices
        if action.choices and not action.option_strings:
            command.words.extend(action.choices)
    yield command
    for name, inner in nested.items():
        yield from _list_commands(inner, f"{path} {name}")
