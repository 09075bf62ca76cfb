"""Response bodies of the admin API.

Operators' scripts and dashboards depend on the JSON names, so they must not change; where a field has another
name in the code, its `name` option is the JSON name.
"""

from __future__ import annotations

import msgspec

from violetstack.core.remote_hold import HoldSummary


class ErrorResponse(msgspec.Struct, frozen=True):
    """Body of every error response (status 400 or higher)."""

    error: str


class HealthResponse(msgspec.Struct, frozen=True):
    """This process accepts client requests."""

    status: str = "serving"


class CordonResponse(msgspec.Struct, frozen=True):
    """The endpoint is cordoned."""

    endpoint_id: str = msgspec.field(name="out")


class UncordonResponse(msgspec.Struct, frozen=True):
    """The endpoint is not cordoned."""

    endpoint_id: str = msgspec.field(name="back")


class OperationCounts(msgspec.Struct, frozen=True):
    """Number of finished requests of one class since the process started, by outcome.

    Attributes:
        fulfilled: Answered completely.
        throttled: Rejected (429, 503) before anything was sent to a client.
        faulted: Failed, overdue, rejected by a host as invalid, or truncated after the first event.
    """

    fulfilled: int
    throttled: int
    faulted: int


class StatsResponse(msgspec.Struct, frozen=True):
    """The metrics of the process.

    Attributes:
        operations: Counters by request class, for every class of the settings.
        requests_written: Attempts completely written to model hosts, including retries and hedged requests.
        open_requests: Requests that are accepted and not finished.
        listed_endpoints: Endpoints in the endpoint list.
        avoided_endpoints: Listed endpoints that the policy does not choose at present.
    """

    operations: dict[str, OperationCounts]
    requests_written: int = msgspec.field(name="relayed")
    open_requests: int
    listed_endpoints: int = msgspec.field(name="registry_entries")
    avoided_endpoints: int = msgspec.field(name="out_of_rotation")


class InvariantsResponse(msgspec.Struct, frozen=True):
    """Violations of invariants that this process has detected in its own behaviour.

    Attributes:
        violations: Number of violations, for every rule.
        log_lines_dropped: Log lines that could not be written.
        client_connections: Number of client connections that were closed too early, by kind of violation.
        held: State and decode slots that model hosts may hold for open requests.
    """

    violations: dict[str, int]
    log_lines_dropped: int
    client_connections: dict[str, int]
    held: HoldSummary


class LeaseRow(msgspec.Struct, frozen=True):
    """One lease as this dispatcher sees it.

    Attributes:
        name: Name of the lease.
        holder: Number of the dispatcher that holds it; None if none does or the holder is not known.
        held_here: Whether this dispatcher holds it.
        fencing_token: Increases each time the lease is acquired.
        remaining_ms: Time until it expires.
        reason: Why the holder last changed.
        changed_ms_ago: Time since the holder last changed; None if it has not.
    """

    name: str
    holder: int | None
    held_here: bool = msgspec.field(name="mine")
    fencing_token: int = msgspec.field(name="number")
    remaining_ms: int = msgspec.field(name="left_ms")
    reason: str = msgspec.field(name="why")
    changed_ms_ago: int | None = msgspec.field(name="since_ms")


class LeasesResponse(msgspec.Struct, frozen=True):
    """The leases of the tier, and the role of this dispatcher in granting them.

    Attributes:
        dispatcher: Its number.
        eligible: Whether it may acquire leases.
        acceptors: Numbers of the dispatchers that are acceptors; a majority of them grants a lease.
        grants: Whether it grants leases; None if it is not an acceptor. After its start an acceptor grants
            none for the duration of one lease.
        datagrams_sent: Number of lease datagrams sent since the start.
        bytes_sent: Total size of these datagrams.
        leases: The leases that this dispatcher knows.
    """

    dispatcher: int = msgspec.field(name="me")
    eligible: bool = msgspec.field(name="fit")
    acceptors: list[int] = msgspec.field(name="electors")
    grants: bool | None = msgspec.field(name="speaks")
    datagrams_sent: int = msgspec.field(name="datagrams")
    bytes_sent: int = msgspec.field(name="bytes")
    leases: list[LeaseRow] = msgspec.field(name="duties")


class RestartPermitResponse(msgspec.Struct, frozen=True):
    """The restart permit is granted, and the process shuts down."""

    permit: str = msgspec.field(name="leave", default="given")


class ResignResponse(msgspec.Struct, frozen=True):
    """This dispatcher has released the lease."""

    lease: str = msgspec.field(name="resigned")
