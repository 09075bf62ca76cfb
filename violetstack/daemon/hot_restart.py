"""The hand-over between two processes of one dispatcher; loaded only where they share a folder."""

from __future__ import annotations

import contextlib
import uuid
from collections.abc import Callable

import trio

from violetstack.admin.cordons import Cordons
from violetstack.admin.errors import NotRecordedError
from violetstack.config import Config
from violetstack.core.dispatcher import Dispatcher
from violetstack.daemon.endpoints import EndpointService
from violetstack.daemon.lifecycle import Lifecycle
from violetstack.handover.learned import Learned
from violetstack.handover.record import Record
from violetstack.handover.successor import Succession
from violetstack.net.clock import now_ms
from violetstack.net.downstream.listener import Listener
from violetstack.net.handover import Handover
from violetstack.net.records import Records
from violetstack.net.upstream.driver import UpstreamDriver


class HotRestart:
    """This process's record in the shared folder, and the streams that pass from one process to another."""

    def __init__(
        self,
        config: Config,
        folder: str,
        *,
        lifecycle: Lifecycle,
        cordons: Cordons,
        endpoints: EndpointService,
        learned: Callable[[], Learned],
        company: Callable[[], None],
    ) -> None:
        self._folder = folder
        self._name = config.told.name
        self._inherited = config.inherited is not None
        self._lifecycle = lifecycle
        self._cordons = cordons
        self._endpoints = endpoints
        self._learned = learned
        self._succession = Succession(uuid.uuid4().hex, now_ms())
        records = Records(folder, config.told.name, self._succession.owner)
        self.handover = Handover(
            records,
            self._succession,
            cordons,
            self._compose,
            lambda update: endpoints.publish(update, {}),
            heirs=self._inherited,
        )
        self.handover.company = company
        self.streams_given: Callable[[], int] = lambda: 0

    @property
    def processes(self) -> int:
        """How many processes of this dispatcher share the machine's limits: one or two."""
        return 2 if self._succession.company(now_ms()) else 1

    def write_soon(self) -> None:
        """Has the record written in the next round."""
        self.handover.changed = True

    def write(self) -> None:
        """Writes the record now; a failure is logged and tried again in the next round."""
        with contextlib.suppress(NotRecordedError):
            self.handover.changed = True
            self.handover.write()

    def find_successor(self) -> str | None:
        """The owner name of the process that takes over from this one."""
        self.handover.look()
        heir = self.handover.heir
        return heir.owner if heir is not None else None

    def predecessor(self) -> Record | None:
        """The newest record that another process of this dispatcher has left."""
        self.handover.look()
        return self._succession.newest()

    async def take_streams(
        self,
        nursery: trio.Nursery,
        core: Dispatcher,
        hosts: UpstreamDriver,
        platform: Callable[[], Listener | None],
    ) -> None:
        """Before anybody is told that this process takes over: SIGTERM follows that word at once."""
        if not self._inherited:
            return
        from violetstack.net.stream_migration import Taker, socket_path

        taker = Taker(core, hosts, lambda: platform() if self._lifecycle.accepting else None)
        await nursery.start(taker.run, socket_path(self._folder, self._succession.owner))

    async def pass_streams(self, core: Dispatcher, hosts: UpstreamDriver) -> None:
        """Gives the streams that have begun to the successor, if there is one."""
        heir = self.find_successor()
        if not self._inherited or heir is None:
            return
        from violetstack.net.stream_migration import Giver, socket_path

        giver = Giver(core)
        self.streams_given = lambda: giver.given
        if await giver.connect(socket_path(self._folder, heir)):
            hosts.migrate_streams(giver.give)

    def _compose(self) -> Record:
        return Record(
            name=self._name,
            owner=self._succession.owner,
            born=self._succession.born,
            at=now_ms(),
            serving=self._lifecycle.accepting,
            version=self._endpoints.version,
            servers=tuple(self._endpoints.rows.values()),
            cordons=dict(self._cordons.records),
            learned=self._learned() if self._inherited else None,
        )
