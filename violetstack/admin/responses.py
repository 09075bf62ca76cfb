"""Bodies of the admin API's responses.

The JSON names are an interface of operators' scripts and dashboards and stay as they are; where the code has
a better term, the field's `name` is the JSON name.
"""

from __future__ import annotations

import msgspec

from violetstack.core.remote_hold import HoldSummary


class ErrorResponse(msgspec.Struct, frozen=True):
    """Body of every response with a status of 400 or more."""

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
    """How the requests of one class ended since the process started.

    Attributes:
        fulfilled: Answered completely.
        throttled: Rejected (429, 503) before anything was sent to a client.
        faulted: Failed, overdue, invalid for a host, or cut off after the first event.
    """

    fulfilled: int
    throttled: int
    faulted: int


class StatsResponse(msgspec.Struct, frozen=True):
    """The metrics of the process.

    Attributes:
        operations: Counters by request class; each class of the settings is there from the start.
        requests_written: Attempts written completely to model hosts, retries and hedges included.
        open_requests: Requests accepted and not finished.
        listed_endpoints: Endpoints in the endpoint list.
        avoided_endpoints: Listed endpoints that are not chosen now.
    """

    operations: dict[str, OperationCounts]
    requests_written: int = msgspec.field(name="relayed")
    open_requests: int
    listed_endpoints: int = msgspec.field(name="registry_entries")
    avoided_endpoints: int = msgspec.field(name="out_of_rotation")


class InvariantsResponse(msgspec.Struct, frozen=True):
    """What this process has seen itself do against the operators' rules.

    Attributes:
        violations: Number of violations by rule; each rule is there from the start.
        log_lines_dropped: Log lines that the output did not take.
        client_connections: Number of closes of client connections that broke a promise, by kind.
        held: What model hosts may hold for open requests now.
    """

    violations: dict[str, int]
    log_lines_dropped: int
    client_connections: dict[str, int]
    held: HoldSummary


class LeaseRow(msgspec.Struct, frozen=True):
    """One lease as this dispatcher sees it.

    Attributes:
        name: Name of the lease.
        holder: Number of the dispatcher that holds it; None if nobody does, or it is not known.
        held_here: Whether this dispatcher holds it.
        fencing_token: Increases with each holder.
        remaining_ms: Time to expiry.
        reason: Why the holder last changed.
        changed_ms_ago: When the holder last changed; None if it has not.
    """

    name: str
    holder: int | None
    held_here: bool = msgspec.field(name="mine")
    fencing_token: int = msgspec.field(name="number")
    remaining_ms: int = msgspec.field(name="left_ms")
    reason: str = msgspec.field(name="why")
    changed_ms_ago: int | None = msgspec.field(name="since_ms")


class LeasesResponse(msgspec.Struct, frozen=True):
    """This dispatcher's part in the leases of the tier.

    Attributes:
        dispatcher: Its number.
        eligible: Whether it may acquire leases.
        acceptors: Numbers of the dispatchers whose majority grants a lease.
        grants: Whether it grants leases itself; None if it is no acceptor. An acceptor grants none for the
            time of one lease after its start.
        datagrams_sent: Lease datagrams sent since the start.
        bytes_sent: Their bytes.
        leases: The leases it knows.
    """

    dispatcher: int = msgspec.field(name="me")
    eligible: bool = msgspec.field(name="fit")
    acceptors: list[int] = msgspec.field(name="electors")
    grants: bool | None = msgspec.field(name="speaks")
    datagrams_sent: int = msgspec.field(name="datagrams")
    bytes_sent: int = msgspec.field(name="bytes")
    leases: list[LeaseRow] = msgspec.field(name="duties")


class RestartPermitResponse(msgspec.Struct, frozen=True):
    """The tier permits this process to restart; it shuts down."""

    permit: str = msgspec.field(name="leave", default="given")


class ResignResponse(msgspec.Struct, frozen=True):
    """This dispatcher has given up the lease."""

    lease: str = msgspec.field(name="resigned")
