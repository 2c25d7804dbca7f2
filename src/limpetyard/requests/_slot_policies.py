"""How many of a target's slots each entry VM may use.

All entry VMs compute the same answer from the same view. While views differ,
or while another VM's requests are still at a target, more than the target's
slots may be in use for a short time; a gain of slots therefore waits.
"""

from collections.abc import Callable, Sequence

from limpetyard._registry import Registry
from limpetyard.membership import rendezvous_rank

SlotPolicy = Callable[[str, str, Sequence[str], int], int]
SLOT_POLICIES: Registry[SlotPolicy] = Registry("slot policy")


@SLOT_POLICIES.register("alone")
def alone(target: str, own_id: str, members: Sequence[str], slots: int) -> int:
    """Every entry VM uses all slots as if it were alone; a baseline."""
    del target, own_id, members
    return slots


@SLOT_POLICIES.register("split")
def split(target: str, own_id: str, members: Sequence[str], slots: int) -> int:
    """Every entry VM uses the same number; the remainder stays idle."""
    del target, own_id
    return max(1, slots // max(1, len(members)))


@SLOT_POLICIES.register("dealt")
def dealt(target: str, own_id: str, members: Sequence[str], slots: int) -> int:
    """Slots are dealt out in an order of the members that each target has."""
    count = max(1, len(members))
    rank = rendezvous_rank(target, own_id, members)
    return slots // count + (rank < slots % count)
