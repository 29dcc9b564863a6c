"""Command line of the model checker: ``make model``."""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

from .checker import Result, Specification, explore
from .claims import ClaimFault, ClaimSpecification, TwoKeySpecification
from .leases import MAX_CLOCK_SKEW, Bounds, LeaseFault, LeaseSpecification
from .versions import VersionFault, VersionSpecification

# A seeded fault counts as missed if no violation is found within this many states.
FAULT_STATES = 500_000


@dataclass(frozen=True)
class Check:
    """A named search; ``create`` creates the specification."""

    name: str
    create: Callable[[], Specification]


FULL_CHECKS = (
    Check("claim of 1 key, 4 attempts", lambda: ClaimSpecification(4)),
    Check(
        "claims of 2 keys, 2 attempts each",
        lambda: TwoKeySpecification(ClaimSpecification(2), ClaimSpecification(2)),
    ),
    Check(
        "configuration, 3 editors, 2 sections, 1 node, 1 restart",
        lambda: VersionSpecification((0, 0, 1), 1, 1),
    ),
    Check(
        "configuration, 2 editors, 1 section, 2 nodes, 2 restarts",
        lambda: VersionSpecification((0, 0), 2, 2),
    ),
    Check(
        "lease, 2 holders, engine checks fencing tokens",
        lambda: LeaseSpecification(True, Bounds(horizon=3, writes=5)),
    ),
    Check(
        "lease, 2 holders, engine ignores fencing tokens",
        lambda: LeaseSpecification(False, Bounds(horizon=4, writes=6)),
    ),
    Check(
        "lease, 3 holders, engine ignores fencing tokens",
        lambda: LeaseSpecification(
            False, Bounds(horizon=3, writes=4, offsets=(0, MAX_CLOCK_SKEW, 0))
        ),
    ),
)

SMALL_CHECKS = (
    Check("claim of 1 key, 3 attempts", lambda: ClaimSpecification(3)),
    Check(
        "claims of 2 keys, 2 and 1 attempts",
        lambda: TwoKeySpecification(ClaimSpecification(2), ClaimSpecification(1)),
    ),
    Check(
        "configuration, 2 editors, 1 section, 1 node, 1 restart",
        lambda: VersionSpecification((0, 0), 1, 1),
    ),
    Check(
        "lease, 2 holders, engine checks fencing tokens",
        lambda: LeaseSpecification(True, Bounds(horizon=2, writes=3)),
    ),
    Check(
        "lease, 2 holders, engine ignores fencing tokens",
        lambda: LeaseSpecification(False, Bounds(horizon=2, writes=3)),
    ),
)


def fault_checks() -> list[Check]:
    """Return a search for each seeded fault."""
    checks = [
        Check(fault.value, lambda f=fault: ClaimSpecification(2, f))
        for fault in ClaimFault
    ]
    checks += [
        Check(fault.value, lambda f=fault: VersionSpecification((0, 0, 1), 1, 1, f))
        for fault in VersionFault
    ]
    checks += [
        Check(fault.value, lambda f=fault: _lease_with(f)) for fault in LeaseFault
    ]
    return checks


def run_check(check: Check, max_states: int = 10_000_000) -> Result:
    """Run a search; print its size, duration and result."""
    start_s = time.monotonic()
    result = explore(check.create(), max_states)
    elapsed_s = time.monotonic() - start_s
    print(
        f"{check.name}: {result.states} states, {result.steps} steps, "
        f"depth {result.depth}, {elapsed_s:.1f} s: {_verdict(result)}",
        flush=True,
    )
    return result


def run_protocol(checks: tuple[Check, ...]) -> bool:
    """Check the correct protocol; return whether all properties hold."""
    passed = True
    for check in checks:
        result = run_check(check)
        print_counterexample(result)
        passed = passed and result.complete and result.violation is None
    return passed


def run_faults() -> bool:
    """Check the variants with a seeded fault; return whether all are detected."""
    passed = True
    for check in fault_checks():
        result = run_check(check, FAULT_STATES)
        print_counterexample(result)
        passed = passed and result.violation is not None
    return passed


def print_counterexample(result: Result) -> None:
    """Print the trace that leads to a violation."""
    for number, step in enumerate(result.counterexample, 1):
        print(f"    {number:2}. {step}")


def parse_arguments(argv: list[str] | None) -> argparse.Namespace:
    """Return the parsed arguments."""
    parser = argparse.ArgumentParser(
        prog="papayarelay.model", description="Model-check the core protocol."
    )
    parser.add_argument("--small", action="store_true", help="use small bounds")
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Run all searches; return 1 for a violation or an undetected seeded fault."""
    arguments = parse_arguments(sys.argv[1:] if argv is None else argv)
    print("Protocol:")
    holds = run_protocol(SMALL_CHECKS if arguments.small else FULL_CHECKS)
    print("Seeded faults:")
    found = run_faults()
    return 0 if holds and found else 1


def _lease_with(fault: LeaseFault) -> LeaseSpecification:
    # These faults affect only engines that check fencing tokens.
    checks = fault in (
        LeaseFault.SHARED_NUMBER,
        LeaseFault.NUMBER_LOST,
        LeaseFault.RESTORED,
    )
    return LeaseSpecification(checks, Bounds(horizon=2, writes=4), fault)


def _verdict(result: Result) -> str:
    if result.violation is not None:
        return result.violation
    return "no violation" if result.complete else "no violation, search not complete"
