"""Load gossip between the dispatchers of one tier.

`codec` defines the format of the datagrams, `state` holds what the other dispatchers have announced, and
`failure_reports` decides which of their failure reports are trusted. The package does no I/O and takes the
time as an argument: `violetstack.net.gossip` is the transport, and only the routing policy acts on the state.
"""

from violetstack.gossip.state import GossipState

__all__ = ["GossipState"]
