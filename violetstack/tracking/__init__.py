"""State that the policy decides on: requests, attempts, endpoints and their load. Nothing is decided here.

`request` and `endpoint` are records, `endpoint_set` follows the endpoint list, `affinity` ranks prefill
hosts for a prompt, `load` estimates what is in flight where, and `state` holds it all together. No I/O; the
clock is a parameter, in milliseconds.
"""
