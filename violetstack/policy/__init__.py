"""All decisions: the choice of hosts, rejections, time limits, retries and releases.

The mechanism is Phasor's Virtual Freeness (docs/design.md). A request is prefilled at the host with the most
headroom: its prefill cost in flight, quadratic in the prompt length, is compared with a budget. When the
prefill starts, a slot is reserved at the decode host with the most free memory. Penalties for failures are
subtracted from freeness.

`router` dispatches events, `request_lifecycle` handles a request from its arrival to its end, `placement`
chooses hosts by `freeness`, `admission` and `retry` decide what may be sent, `outliers` penalizes failures,
and `endpoint_changes` applies changes of the endpoint list. The state is in violetstack/tracking, the types
of events and actions are in violetstack/policy_api. The operators limit the number of lines of this package.
"""
