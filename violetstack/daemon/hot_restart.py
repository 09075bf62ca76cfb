"""Hot restart between two processes of one dispatcher; imported only if a shared directory is configured."""

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
from violetstack.handover.learned_state import LearnedState
from violetstack.handover.record import HandoverRecord
from violetstack.handover.successor import SiblingProcesses
from violetstack.net.clock import now_ms
from violetstack.net.downstream.listener import Listener
from violetstack.net.handover import HandoverService
from violetstack.net.handover_directory import HandoverDirectory
from violetstack.net.upstream.driver import UpstreamDriver


class HotRestart:
    """Writes this process's handover record and migrates streams from the predecessor to the successor."""

    def __init__(
        self,
        config: Config,
        directory: str,
        *,
        lifecycle: Lifecycle,
        cordons: Cordons,
        endpoints: EndpointService,
        capture_learned_state: Callable[[], LearnedState],
        on_siblings_changed: Callable[[], None],
    ) -> None:
        """Finds the other processes of this dispatcher through `directory`.

        Args:
            config: The configuration of this process.
            directory: The directory that the processes of this dispatcher share.
            lifecycle: Tells whether this process accepts requests.
            cordons: The cordons, which the processes of this dispatcher exchange in their records.
            endpoints: The endpoint list to write into the record.
            capture_learned_state: Returns the policy's current estimates.
            on_siblings_changed: Called when another process of this dispatcher has started or ended.
        """
        self._directory = directory
        self._name = config.node.name
        self._inherited = config.inherited_listener is not None
        self._lifecycle = lifecycle
        self._cordons = cordons
        self._endpoints = endpoints
        self._capture_learned_state = capture_learned_state
        self._siblings = SiblingProcesses(uuid.uuid4().hex, now_ms())
        self.handover = HandoverService(
            HandoverDirectory(directory, config.node.name, self._siblings.process_id),
            self._siblings,
            cordons,
            self._build_record,
            on_cordons_changed=lambda update: endpoints.publish(update, {}),
            on_siblings_changed=on_siblings_changed,
            hot_restart=self._inherited,
        )
        self.migrated_streams: Callable[[], int] = lambda: 0

    @property
    def process_count(self) -> int:
        """The number of processes of this dispatcher that share the machine's limits: one or two."""
        return 2 if self._siblings.any_alive(now_ms()) else 1

    def request_write(self) -> None:
        """Requests that the next round of the handover service writes the record."""
        self.handover.request_write()

    def write(self) -> None:
        """Writes the record now; after a failure, which is logged, the next round tries again."""
        with contextlib.suppress(NotRecordedError):
            self.handover.request_write()
            self.handover.write_record()

    def find_successor(self) -> str | None:
        """Returns the id of the process that takes over from this one, if there is one."""
        self.handover.refresh()
        successor = self.handover.successor
        return successor.process_id if successor is not None else None

    def predecessor_record(self) -> HandoverRecord | None:
        """Returns the latest handover record of another process of this dispatcher, if there is one."""
        self.handover.refresh()
        return self._siblings.latest_record()

    async def receive_streams(
        self,
        nursery: trio.Nursery,
        core: Dispatcher,
        upstream_driver: UpstreamDriver,
        platform: Callable[[], Listener | None],
    ) -> None:
        """Starts to receive the predecessor's streams.

        Called before this process reports that it is ready, since SIGTERM to the predecessor may follow at
        once.
        """
        if not self._inherited:
            return
        from violetstack.net.stream_migration import StreamReceiver, socket_path

        receiver = StreamReceiver(
            core, upstream_driver, lambda: platform() if self._lifecycle.accepting else None
        )
        await nursery.start(receiver.run, socket_path(self._directory, self._siblings.process_id))

    async def migrate_streams(self, core: Dispatcher, upstream_driver: UpstreamDriver) -> None:
        """Offers all started streams to the successor, if there is one."""
        successor = self.find_successor()
        if not self._inherited or successor is None:
            return
        from violetstack.net.stream_migration import StreamSender, socket_path

        sender = StreamSender(core)
        self.migrated_streams = lambda: sender.migrated
        if await sender.connect(socket_path(self._directory, successor)):
            upstream_driver.migrate_streams(sender.migrate)

    def _build_record(self) -> HandoverRecord:
        return HandoverRecord(
            dispatcher=self._name,
            process_id=self._siblings.process_id,
            started_at_ms=self._siblings.started_at_ms,
            written_at_ms=now_ms(),
            accepting=self._lifecycle.accepting,
            list_version=self._endpoints.version,
            endpoints=tuple(self._endpoints.listed_endpoints.values()),
            cordons=dict(self._cordons.records),
            learned_state=self._capture_learned_state() if self._inherited else None,
        )
