"""Admission by the places of replicas; one module for each load pattern."""

from chicoryplank.admission._occupancy import Occupancy
from chicoryplank.admission._outage import OutageGate
from chicoryplank.admission._places import PlaceQueue, Waiter
from chicoryplank.admission._repeats import RepeatBudget, RepeatParameters
from chicoryplank.admission._returns import ReturnSpread

__all__ = [
    "Occupancy",
    "OutageGate",
    "PlaceQueue",
    "RepeatBudget",
    "RepeatParameters",
    "ReturnSpread",
    "Waiter",
]
