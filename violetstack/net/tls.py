"""The chat front's certificate: loaded, served, and replaced without dropping a connection."""

from __future__ import annotations

import ssl

import trio

from violetstack.log import log
from violetstack.operator_config import TlsFiles


class Certificate:
    def __init__(self, files: TlsFiles) -> None:
        self.files = files
        self._context: ssl.SSLContext | None = None

    def load(self) -> None:
        """A new context for the connections to come; the open ones keep theirs. Raises OSError."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(self.files.certificate, self.files.key)
        self._context = context

    def reload(self) -> None:
        """Guards against a bad pair of files: the context in use stays."""
        try:
            self.load()
        except OSError as error:
            log("certificate_invalid", error=str(error))

    async def wrap(self, stream: trio.SocketStream) -> trio.abc.Stream:
        if self._context is None:
            raise trio.BrokenResourceError("no certificate yet")
        tls = trio.SSLStream(stream, self._context, server_side=True, https_compatible=True)
        await tls.do_handshake()
        return tls
