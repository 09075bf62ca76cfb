"""All decisions: the choice of a host, rejections, time limits, retries and releases.

The mechanism is Phasor's Virtual Freeness (docs/design.md). A request is prefilled at the host with the most
headroom, its cost in flight priced quadratically against a budget; as the prefill starts, a slot is reserved
at the decode host with the most free memory. Penalties for failures are taken off the same freeness.

`router` dispatches events, `request_lifecycle` carries a request from its arrival to its end, `placement`
chooses hosts by `freeness`, `admission` and `retry` say what may be sent, `outliers` penalizes failures and
`endpoint_changes` follows the endpoint list. What they decide on is in violetstack/tracking, the types of
events and actions are in violetstack/policy_api.py. The operators bound this package's length.
"""
