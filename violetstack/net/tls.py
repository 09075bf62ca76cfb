"""Loads the certificate of the chat front, and replaces it without closing open connections."""

from __future__ import annotations

import ssl

import trio

from violetstack.log import log
from violetstack.operator_config import TlsFiles


class Certificate:
    """The current certificate; new connections use the one that was loaded last."""

    def __init__(self, files: TlsFiles) -> None:
        """Creates a certificate that has not been loaded."""
        self.files = files
        self._context: ssl.SSLContext | None = None

    def load(self) -> None:
        """Loads the files for new connections; open ones keep their context. Raises OSError."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(self.files.certificate, self.files.key)
        self._context = context

    def reload(self) -> bool:
        """Loads the files; if that fails, logs the error, keeps the current context and returns False."""
        try:
            self.load()
        except OSError as error:  # includes ssl.SSLError, raised if the key does not match the certificate
            log("certificate_invalid", error=str(error))
            return False
        return True

    async def wrap(self, stream: trio.SocketStream) -> trio.abc.Stream:
        """Returns the TLS stream after the handshake; raises trio.BrokenResourceError if that fails."""
        if self._context is None:
            raise trio.BrokenResourceError("no certificate is loaded")
        tls = trio.SSLStream(stream, self._context, server_side=True, https_compatible=True)
        await tls.do_handshake()
        return tls
