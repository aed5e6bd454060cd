"""Transports over loopback that add the delay between data centres."""

import dataclasses
from collections import abc

import trio

from plantainhook import leaftransport


@dataclasses.dataclass(slots=True)
class DelayedTransport:
    """Delay each request and each reply by ``one_way_s``.

    A connection carries one request at a time, so delaying the first bytes
    after a change of direction delays the whole message. ``receiving`` is
    True after bytes were received and False after bytes were sent.
    """

    inner: leaftransport.Transport
    one_way_s: float
    receiving: bool = True

    async def send_some(self, data: bytes) -> int:
        """Send bytes, after the one-way delay if they begin a request."""
        if self.receiving:
            self.receiving = False
            await trio.sleep(self.one_way_s)
        return await self.inner.send_some(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return received bytes, delayed if they begin a reply."""
        data = await self.inner.receive_some(max_bytes)
        if not self.receiving:
            self.receiving = True
            await trio.sleep(self.one_way_s)
        return data

    def is_readable(self) -> bool:
        """Return whether bytes, an end of stream or an error is pending."""
        return self.inner.is_readable()

    def send_eof(self) -> None:
        """Close the sending side."""
        self.inner.send_eof()

    def close(self) -> None:
        """Close both sides at once."""
        self.inner.close()


def delayed_connector(
    data_centre: str, zones: abc.Mapping[str, str], one_way_s: float
) -> leaftransport.Connector:
    """Return a connector that delays calls to other data centres.

    ``zones`` maps leaf addresses to data centres; an address that it does not
    contain is not delayed. Setting up a delayed connection takes one round
    trip.
    """

    async def connect(address: str) -> leaftransport.Transport:
        inner = await leaftransport.connect(address)
        if zones.get(address, data_centre) == data_centre:
            return inner
        await trio.sleep(2 * one_way_s)
        return DelayedTransport(inner, one_way_s)

    return connect
