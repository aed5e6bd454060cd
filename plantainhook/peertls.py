"""TLS contexts of peer links, rebuilt when their files change.

Both sides present a certificate of the same authority. Addresses are IP
addresses that change with every VM, so the authority vouches for a peer and
host names are not compared. Files that cannot be loaded leave the contexts
in force as they are.
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
    """Hold the contexts of the dialling and the accepting side."""

    client: ssl.SSLContext
    server: ssl.SSLContext


def build_contexts(tls: options.TlsOptions) -> Contexts:
    """Build both contexts from the files.

    Raises OSError or ssl.SSLError where a file cannot be loaded.
    """
    return Contexts(
        client=_context(tls, ssl.PROTOCOL_TLS_CLIENT),
        server=_context(tls, ssl.PROTOCOL_TLS_SERVER),
    )


def _context(tls: options.TlsOptions, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    context.load_verify_locations(tls.ca_file)
    return context


def _file_state(tls: options.TlsOptions) -> _FileState:
    paths: list[pathlib.Path] = [
        tls.certificate_file,
        tls.key_file,
        tls.ca_file,
    ]
    states = [path.stat() for path in paths]
    return tuple((state.st_mtime_ns, state.st_size) for state in states)


class TlsReloader:
    """Hold the contexts in force and reload them."""

    def __init__(self, tls: options.TlsOptions) -> None:
        self._tls = tls
        self._state = _file_state(tls)
        self.contexts = build_contexts(tls)

    def reload(self) -> bool:
        """Rebuild the contexts if a file changed; return whether it did."""
        try:
            state = _file_state(self._tls)
            if state == self._state:
                return False
            self.contexts = build_contexts(self._tls)
        except (OSError, ssl.SSLError) as error:
            LOGGER.warning("TLS files not loaded: {}", error)
            return False
        self._state = state
        LOGGER.info("TLS files reloaded.")
        return True

    async def run(self) -> None:
        """Reload at an interval until cancelled."""
        while True:
            await trio.sleep(self._tls.reload_interval_s)
            await trio.to_thread.run_sync(self.reload)
