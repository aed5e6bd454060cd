"""Client of the platform's VM list.

The list lags behind the truth, and a read may return an older list than an
earlier one; such a list is dropped.
"""

import typing

import httpx
import msgspec
import result

from plantainhook import errors, leafprotocol, steps

VMS_PATH: typing.Final = "/v1/vms"
_DECODER: typing.Final = msgspec.json.Decoder(leafprotocol.VmListing)


class VmListError(errors.PlantainhookError):
    """Report a read of the VM list that failed or went back in time."""


class VmListClient:
    """Read the VM list over HTTP."""

    def __init__(
        self,
        url: str,
        timeout_s: float = 1.0,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self._url = url.rstrip("/") + VMS_PATH
        self._client = httpx.AsyncClient(
            timeout=timeout_s, transport=transport
        )
        self._as_of_s = -float("inf")

    async def read(
        self,
    ) -> result.Result[leafprotocol.VmListing, VmListError]:
        """Return the list; one older than the last is an error."""
        try:
            response = await self._client.get(self._url)
            response.raise_for_status()
            listing = _DECODER.decode(response.content)
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            return result.Err(self._error(repr(error)))
        if listing.as_of_s < self._as_of_s:
            return result.Err(self._error("the list is older than the last"))
        self._as_of_s = listing.as_of_s
        return result.Ok(listing)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    def _error(self, detail: str) -> VmListError:
        return VmListError(steps.Step.QUERY_PLAN, self._url, detail)
