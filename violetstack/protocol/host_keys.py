"""Idempotency keys for model hosts, which know repeats of a request by them.

A client's own key means something only together with who wrote it: hosts serve several tenants, classes and
API keys, and the clients of one know nothing of the keys of another. So hosts get a digest of all of it,
which is the same for each attempt of a request and for each time that its client sends it, at any dispatcher.
"""

from __future__ import annotations

from hashlib import sha256

import orjson

HOST_KEY_HEADER = "Idempotency-Key"


def derive_host_key(front: str, tenant: str, class_name: str, *identity: str) -> str:
    """Returns the key of a request.

    Args:
        front: Name of the front that received it.
        tenant: Name of the tenant.
        class_name: Name of its class in the settings.
        identity: What tells the requests of this tenant and class apart.
    """
    return sha256(orjson.dumps((front, tenant, class_name, *identity))).hexdigest()
