"""Pass each VM list that is read to the controllers that use it.

``leafhealth`` reads the list through ``VmListDistributor``, which also passes
it to membership and connection shares, and starts a planned stop if the list
shows that the daemon's own VM is leaving.
"""

from collections import abc

import result

from plantainhook import (
    blackboard,
    leafhealth,
    leafprotocol,
    membership,
    peerlinks,
    shareclaim,
    shares,
    vmlist,
)


class VmListDistributor:
    """Read VM lists and distribute them; a ``leafhealth.VmListReader``."""

    def __init__(
        self,
        reader: leafhealth.VmListReader,
        board: blackboard.Blackboard,
        vm_id: str,
        peer_address: str,
        members: membership.Membership,
        claims: shares.ShareClaims,
        request_drain: abc.Callable[[], None],
    ) -> None:
        self._reader = reader
        self._board = board
        self._vm_id = vm_id
        self._peer_port = peerlinks.split_address(peer_address)[1]
        self._members = members
        self._claims = claims
        self._request_drain = request_drain

    async def read(
        self,
    ) -> result.Result[leafprotocol.VmListing, vmlist.VmListError]:
        """Read the list and distribute it if the read succeeded."""
        listing = await self._reader.read()
        if isinstance(listing, result.Ok):
            self._distribute(listing.ok_value)
        return listing

    def _distribute(self, listing: leafprotocol.VmListing) -> None:
        leaf_addresses = {
            leaf.address for leaf in self._board.settings.leafs.values()
        }
        self._members.set_vm_list(
            membership.ListedVm(
                vm.vm_id, self._with_port(vm.address), vm.state == "leaving"
            )
            for vm in listing.vms
            if vm.address not in leaf_addresses
        )
        self._claims.set_vm_list(
            shareclaim.VmListing(
                frozenset(vm.vm_id for vm in listing.vms), listing.as_of_s
            )
        )
        if any(
            vm.vm_id == self._vm_id and vm.state == "leaving"
            for vm in listing.vms
        ):
            self._request_drain()

    def _with_port(self, address: str) -> str:
        """Return a peer address, adding the port if the list has none."""
        if ":" in address:
            return address
        return peerlinks.join_address(address, self._peer_port)
