"""Updates an instance's catalogue of resources and its list of members."""

from verbenagrade.coordination.configuration import (
    changes_after,
    list_resources,
    read_latest_revision,
)
from verbenagrade.coordination.ports import Table, VmEntry, VmList
from verbenagrade.events import Event, log_event
from verbenagrade.state.catalogue import Catalogue
from verbenagrade.state.membership import Members, MemberVm
from verbenagrade.state.resources import Pool, Route, Workspace

__all__ = ["refresh_catalogue", "refresh_members"]

CACHED_KINDS = (Workspace.kind, Route.kind, Pool.kind)


async def refresh_catalogue(table: Table, catalogue: Catalogue) -> bool:
    """Applies newer revisions to the catalogue; returns whether there were any.

    Raises ``PlatformError`` if the table is unavailable. The catalogue then keeps
    the revision that it has.
    """
    revision = await read_latest_revision(table)
    if revision <= catalogue.revision:
        return False
    if catalogue.revision == 0:
        for kind in CACHED_KINDS:
            catalogue.preload(await list_resources(table, kind))
        changes = ()
    else:
        changes = await changes_after(table, catalogue.revision)
    catalogue.apply(changes, revision)
    log_event(Event.CONFIGURATION_APPLIED, revision=revision)
    return True


async def refresh_members(vm_list: VmList, members: Members) -> None:
    """Updates the members from the platform's VM list.

    Raises ``PlatformError`` if the list is unavailable. The members then stay as
    they are.
    """
    change = members.update(map(_member, await vm_list.fetch()))
    for member in change.added:
        log_event(Event.VM_LISTED, vm=member.vm, data_centre=member.data_centre)
    for member in change.removed:
        log_event(Event.VM_DELISTED, vm=member.vm, data_centre=member.data_centre)


def _member(entry: VmEntry) -> MemberVm:
    return MemberVm(entry.vm, entry.data_centre, entry.address, entry.leaving)
