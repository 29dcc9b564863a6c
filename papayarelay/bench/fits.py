"""Reader of measurement files and least-squares fits."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import numpy


class MeasurementError(Exception):
    """Raised for a line of a measurement file that is malformed."""


class Measurement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One measured value; the format is documented in docs/measurements."""

    quantity: str
    unit: str
    variables: dict[str, float | str]
    value: float
    command: str


def read_measurements(directory: Path) -> list[Measurement]:
    """Read all ``*.jsonl`` files of a directory; raises ``MeasurementError``."""
    decoder = msgspec.json.Decoder(Measurement)
    lines = []
    for path in sorted(directory.glob("*.jsonl")):
        for number, text in enumerate(path.read_text("utf-8").splitlines(), start=1):
            try:
                lines.append(decoder.decode(text))
            except msgspec.DecodeError as error:
                raise MeasurementError(f"{path}:{number}: {error}") from error
    return lines


@dataclass(frozen=True)
class Fit:
    """A linear least-squares fit with an intercept."""

    variables: tuple[str, ...]
    # The intercept, followed by one slope per variable.
    coefficients: tuple[float, ...]
    standard_errors: tuple[float, ...]
    # Residual standard error: sqrt(sum of squares / degrees of freedom).
    residual: float
    points: int
    covariance: numpy.ndarray = field(repr=False, compare=False)

    def project(self, target: Mapping[str, float]) -> tuple[float, float]:
        """Return the fitted value at the target and its standard error."""
        place = numpy.array([1.0] + [target[name] for name in self.variables])
        value = float(place @ numpy.array(self.coefficients))
        return value, float(numpy.sqrt(max(0.0, place @ self.covariance @ place)))


def fit(lines: Sequence[Measurement], variables: Iterable[str]) -> Fit | None:
    """Fit the measured values over those variables that vary among the lines.

    Returns None if the points do not outnumber the coefficients or the variables
    are collinear.
    """
    varying = tuple(
        v for v in variables if len({n.variables.get(v) for n in lines}) > 1
    )
    if len(lines) <= len(varying) + 1:
        return None
    matrix = numpy.array([[1.0, *variable_values(line, varying)] for line in lines])
    values = numpy.array([line.value for line in lines])
    solution, _, rank, _ = numpy.linalg.lstsq(matrix, values, rcond=None)
    if rank <= len(varying):
        return None
    residuals = values - matrix @ solution
    variance = float(residuals @ residuals) / (len(lines) - rank)
    covariance = variance * numpy.linalg.inv(matrix.T @ matrix)
    return Fit(
        varying,
        tuple(map(float, solution)),
        tuple(map(float, numpy.sqrt(numpy.diag(covariance)))),
        variance**0.5,
        len(lines),
        covariance,
    )


def variable_values(line: Measurement, variables: Iterable[str]) -> list[float]:
    """Return the values that the variables had in a measurement."""
    return [float(line.variables[name]) for name in variables]
