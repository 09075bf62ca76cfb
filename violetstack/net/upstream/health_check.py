"""Health checks of model hosts, if the settings allow them."""

from __future__ import annotations

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.net.upstream.connection import LocalFaultError, NotConnectedError
from violetstack.net.upstream.connection_pool import ConnectionPool
from violetstack.net.upstream.short_call import CALL_TIMEOUT_S, short_call
from violetstack.policy_api import AttemptStatus, HealthCheckResult
from violetstack.protocol.headers import parse_load_report
from violetstack.protocol.http_client import InvalidResponseError


class HealthChecker:
    """Makes the core's health checks."""

    def __init__(self, core: Dispatcher, pool: ConnectionPool, report_fields: tuple[str, ...]) -> None:
        self._core = core
        self._pool = pool
        self._report_fields = report_fields

    async def run(self, server: str) -> None:
        """Makes one check and reports its result to the core.

        There is no result if the host has started to drain meanwhile, or if this machine lacks a resource for
        the connection.
        """
        if server in self._core.stateless_hosts:
            return
        began_at = now_ms()
        status = AttemptStatus.TIMEOUT
        report = None
        try:
            with trio.move_on_after(CALL_TIMEOUT_S):
                connection = await self._pool.acquire(server, lambda: self._core.may_send_to(server))
                if connection is None:
                    return
                head = await short_call(self._pool, connection, "GET", "/-/load")
                status = AttemptStatus.OK if head.status == 200 else AttemptStatus.ERROR
                report = parse_load_report(head.headers.get("srv-load"), self._report_fields)
        except LocalFaultError:
            return
        except NotConnectedError:
            status = AttemptStatus.CONNECT_FAILED
        except (OSError, InvalidResponseError):
            status = AttemptStatus.RESET
        except Exception as error:  # a failed check must not end the process
            log("health_check_failed", server=server, error=repr(error))
        self._core.health_check_finished(HealthCheckResult(server, status, now_ms() - began_at, report))
