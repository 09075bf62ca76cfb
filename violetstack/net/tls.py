"""The chat front's certificate: loaded, served, and replaced without closing open connections."""

from __future__ import annotations

import ssl

import trio

from violetstack.log import log
from violetstack.operator_config import TlsFiles


class Certificate:
    """The certificate in use; new connections get the one that was loaded last."""

    def __init__(self, files: TlsFiles) -> None:
        """Reads nothing before `load`."""
        self.files = files
        self._context: ssl.SSLContext | None = None

    def load(self) -> None:
        """Reads the files for the connections to come; open ones keep their context. Raises OSError."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(self.files.certificate, self.files.key)
        self._context = context

    def reload(self) -> bool:
        """Loads the files; False, and a line in the log, if they can't be used: the context in use stays."""
        try:
            self.load()
        except OSError as error:  # a key that does not fit the chain is an ssl.SSLError, which is one too
            log("certificate_invalid", error=str(error))
            return False
        return True

    async def wrap(self, stream: trio.SocketStream) -> trio.abc.Stream:
        """The TLS stream after the handshake. Raises trio.BrokenResourceError if it fails."""
        if self._context is None:
            raise trio.BrokenResourceError("no certificate yet")
        tls = trio.SSLStream(stream, self._context, server_side=True, https_compatible=True)
        await tls.do_handshake()
        return tls
