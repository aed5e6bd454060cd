"""TLS contexts of peer links, which are rebuilt when their files change.

Both sides present a certificate of the same certificate authority. Peer
addresses are IP addresses that differ for every new VM, so a peer is trusted
because of its certificate authority and host names are not checked. If the
files cannot be loaded, the current contexts stay in use.
"""

import dataclasses
import pathlib
import ssl
import typing

import trio

from plantainhook import logs, options

LOGGER: typing.Final = logs.part_logger("peertls")

_FileState = tuple[tuple[int, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Contexts:
    """Store the contexts of the connecting and the accepting side."""

    client: ssl.SSLContext
    server: ssl.SSLContext


def build_contexts(tls: options.TlsOptions) -> Contexts:
    """Build both contexts from the files.

    Raises OSError or ssl.SSLError if a file cannot be loaded.
    """
    return Contexts(
        client=_build_context(tls, ssl.PROTOCOL_TLS_CLIENT),
        server=_build_context(tls, ssl.PROTOCOL_TLS_SERVER),
    )


def _build_context(tls: options.TlsOptions, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    context.load_verify_locations(tls.ca_file)
    return context


def _read_file_state(tls: options.TlsOptions) -> _FileState:
    paths: list[pathlib.Path] = [
        tls.certificate_file,
        tls.key_file,
        tls.ca_file,
    ]
    states = [path.stat() for path in paths]
    return tuple((state.st_mtime_ns, state.st_size) for state in states)


class TlsReloader:
    """Provide the current contexts and reload them.

    The constructor raises OSError or ssl.SSLError if a file cannot be loaded.
    """

    def __init__(self, tls: options.TlsOptions) -> None:
        self._tls = tls
        self._state = _read_file_state(tls)
        self.contexts = build_contexts(tls)

    def reload(self) -> bool:
        """Rebuild the contexts if a file changed; return whether they were.

        A file counts as changed if its modification time or size differs.
        """
        try:
            state = _read_file_state(self._tls)
            if state == self._state:
                return False
            self.contexts = build_contexts(self._tls)
        except (OSError, ssl.SSLError) as error:
            LOGGER.warning("The TLS files could not be loaded: {}", error)
            return False
        self._state = state
        LOGGER.info("The TLS files were reloaded.")
        return True

    async def run(self) -> None:
        """Check the files at an interval until cancelled."""
        while True:
            await trio.sleep(self._tls.reload_interval_s)
            await trio.to_thread.run_sync(self.reload)
