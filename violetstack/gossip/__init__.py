"""Load gossip between the dispatchers of one tier.

`codec` is the format of the datagrams, `state` is what the other dispatchers have announced, and
`failure_reports` decides which of their failure reports count. The package does no I/O and takes the clock
as an argument: `violetstack.net.gossip` is the transport, and the routing policy alone acts on the state.
"""

from violetstack.gossip.state import GossipState

__all__ = ["GossipState"]
