"""HTTP client of the platform's VM list.

The list lags behind the actual VMs, and a read may return an older list than
the one before; such a list is rejected.
"""

import typing

import httpx
import msgspec
import result

from plantainhook import errors, leafprotocol, steps

VMS_PATH: typing.Final = "/v1/vms"
_DECODER: typing.Final = msgspec.json.Decoder(leafprotocol.VmListing)


class VmListError(errors.PlantainhookError):
    """Report a read of the VM list that failed or returned an older list."""


class VmListClient:
    """Read the VM list over HTTP.

    ``transport`` replaces the network in tests.
    """

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
        """Return the list; one older than the previous one is an error."""
        try:
            response = await self._client.get(self._url)
            response.raise_for_status()
            listing = _DECODER.decode(response.content)
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            return result.Err(self._error(repr(error)))
        if listing.as_of_s < self._as_of_s:
            return result.Err(
                self._error("the VM list is older than the previous one")
            )
        self._as_of_s = listing.as_of_s
        return result.Ok(listing)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    def _error(self, detail: str) -> VmListError:
        return VmListError(steps.Step.QUERY_PLAN, self._url, detail)
