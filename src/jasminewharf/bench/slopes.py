"""Fits of measured costs to the numbers that cause them."""

from collections.abc import Sequence
from typing import NamedTuple

import numpy

__all__ = ["Slope", "fit_slope"]


class Slope(NamedTuple):
    """A straight line through measured points.

    ``error`` is the largest distance of a point from the line, as a share of the
    largest value.
    """

    intercept: float
    slope: float
    error: float

    def predict(self, x: float) -> float:
        """Return the line's value at ``x``."""
        return self.intercept + self.slope * x


def fit_slope(xs: Sequence[float], ys: Sequence[float]) -> Slope:
    """Return the least-squares line through the points."""
    slope, intercept = numpy.polyfit(xs, ys, 1)
    distances = [abs(intercept + slope * x - y) for x, y in zip(xs, ys, strict=True)]
    largest = max(max(map(abs, ys)), 1e-12)
    return Slope(float(intercept), float(slope), float(max(distances) / largest))
