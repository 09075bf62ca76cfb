"""Which hosts discard repetitions of a request that another host has executed."""

from __future__ import annotations

from violetstack.policy_api.endpoints import Endpoint
from violetstack.policy_api.settings import DeduplicationScope


def share_deduplication_records(
    first: Endpoint | None, second: Endpoint | None, scope: DeduplicationScope
) -> bool:
    """Returns whether the second host discards a request that the first host has executed.

    A host whose zone or cell is not known shares records with no other host of a zone or cell.
    """
    if scope is DeduplicationScope.ALL:
        return True
    if first is None or second is None:
        return False
    if first.server == second.server:
        return True
    if scope is DeduplicationScope.ZONE:
        return first.is_zone_known and second.is_zone_known and first.zone == second.zone
    return first.is_cell_known and second.is_cell_known and first.cell == second.cell
