"""Policies that divide a target's slots among the entry VMs.

All entry VMs compute the same division from the same membership view. While
their views differ, or while requests of a slot's previous user are still in
flight, a target may briefly exceed its slots. `TargetState.grant` therefore
delays increases.

A policy takes the target's id, the id of this VM, the ids of the live entry
VMs and the target's number of slots. It returns the slots that this VM may use.
"""

from collections.abc import Callable, Sequence

from limpetyard._registry import Registry
from limpetyard.membership import rendezvous_rank

SlotPolicy = Callable[[str, str, Sequence[str], int], int]
SLOT_POLICIES: Registry[SlotPolicy] = Registry("slot policy")


@SLOT_POLICIES.register("alone")
def full_share(
    target: str, own_id: str, members: Sequence[str], slots: int
) -> int:
    """Returns all slots for every entry VM; a baseline without division."""
    del target, own_id, members
    return slots


@SLOT_POLICIES.register("split")
def equal_share(
    target: str, own_id: str, members: Sequence[str], slots: int
) -> int:
    """Returns the same number for every entry VM, but at least 1.

    The remainder stays unused.
    """
    del target, own_id
    return max(1, slots // max(1, len(members)))


@SLOT_POLICIES.register("dealt")
def ranked_share(
    target: str, own_id: str, members: Sequence[str], slots: int
) -> int:
    """Returns an equal share, plus one for the first-ranked members.

    The remainder of the division goes to the members that rank first in the
    order of the target, so that all slots are assigned.
    """
    count = max(1, len(members))
    rank = rendezvous_rank(target, own_id, members)
    return slots // count + (rank < slots % count)
