"""The state on which the policy decides: requests, attempts, endpoints and their load.

`request` and `endpoint` are records, `endpoint_set` applies the endpoint list, `affinity` ranks prefill hosts
for a prompt, `load` estimates the load in flight at each endpoint, and `state` combines them. This package
makes no decisions and does no I/O; the time is a parameter, in milliseconds.
"""
