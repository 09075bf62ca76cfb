"""Idempotency keys: records of the requests that must not run twice, and the service that keeps them.

`store` is the SQLite file, `service` runs its blocking calls on a thread. See the IETF draft "The
Idempotency-Key HTTP Header Field" (draft-ietf-httpapi-idempotency-key-header).
"""
