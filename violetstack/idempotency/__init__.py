"""Idempotency keys: durable records of requests that must not be executed twice.

`store` keeps the records in an SQLite file, and `service` runs the blocking calls of the store on a thread.
See the IETF draft "The Idempotency-Key HTTP Header Field" (draft-ietf-httpapi-idempotency-key-header).
"""
