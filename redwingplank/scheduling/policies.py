"""Placement policies, which rank the VMs that have enough free capacity."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Any

import numpy as np

from redwingplank.config import PlacementPolicyName

__all__ = ["PlacementPolicy", "make_policy"]

PACKING_SPEED_WEIGHT = 0.2
"""Score subtracted for each unit of a VM's learnt speed."""


class PlacementPolicy(ABC):
    """Scores VMs; the VM with the lowest score is chosen, and the lowest row among equal scores."""

    name: PlacementPolicyName

    @abstractmethod
    def score(self, left: Sequence[Any], speed: Any, row: Any) -> Any:
        """Return the score of one VM or of many.

        Parameters
        ----------
        left : sequence of float or ndarray
            For each dimension, the fraction of the VM that stays free once the task is placed.
        speed : float or ndarray
            Learnt speed of the VM.
        row : int or ndarray
            Row of the VM in the table.

        Returns
        -------
        float or ndarray
            Scores in the shape of `row`.
        """


class PackingPolicy(PlacementPolicy):
    """Best fit with the least imbalance, so that whole VMs stay free for large tasks.

    Among VMs that are about equally full, a faster one is preferred because its capacity is freed
    sooner.
    """

    name = PlacementPolicyName.PACKING

    def score(self, left: Sequence[Any], speed: Any, row: Any) -> Any:
        total = left[0] + left[1] + abs(left[0] - left[1])
        for accelerators in left[2:]:
            total = total + accelerators
        return total - PACKING_SPEED_WEIGHT * speed


class WaitingPolicy(PlacementPolicy):
    """Fastest VM first, and the least loaded one among VMs of equal speed."""

    name = PlacementPolicyName.WAITING

    def score(self, left: Sequence[Any], speed: Any, row: Any) -> Any:
        load = 2.0 - left[0] - left[1]
        return (1.0 + 0.1 * load) / speed


class FirstFitPolicy(PlacementPolicy):
    """First VM with enough free capacity; a baseline."""

    name = PlacementPolicyName.FIRST_FIT

    def score(self, left: Sequence[Any], speed: Any, row: Any) -> Any:
        return row * 1.0


class RandomPolicy(PlacementPolicy):
    """Random VM with enough free capacity; a baseline.

    Parameters
    ----------
    rng : numpy.random.Generator
        Generator of the scores.
    """

    name = PlacementPolicyName.RANDOM

    def __init__(self, rng: np.random.Generator) -> None:
        self._rng = rng

    def score(self, left: Sequence[Any], speed: Any, row: Any) -> Any:
        return self._rng.random(np.shape(row) or None)


def make_policy(name: PlacementPolicyName, rng: np.random.Generator) -> PlacementPolicy:
    """Return the policy of that name."""
    if name is PlacementPolicyName.PACKING:
        return PackingPolicy()
    if name is PlacementPolicyName.WAITING:
        return WaitingPolicy()
    if name is PlacementPolicyName.FIRST_FIT:
        return FirstFitPolicy()
    return RandomPolicy(rng)
