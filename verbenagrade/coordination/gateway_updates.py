"""Applies rows of the platform's store to a gateway's routes and endpoints."""

from verbenagrade.coordination.allowances import AllowanceManager
from verbenagrade.coordination.codec import log_ignored
from verbenagrade.coordination.ports import Changes, Row
from verbenagrade.events import Event, log_event
from verbenagrade.state.directory import (
    DirectoryChange,
    EndpointDirectory,
    EndpointEntry,
)
from verbenagrade.state.documents import DocumentError, DocumentFormat
from verbenagrade.state.routes import GatewayConfiguration, RouteIndex

__all__ = ["apply_configuration", "apply_endpoints"]


def apply_configuration(
    index: RouteIndex | None,
    changes: Changes,
    documents: DocumentFormat,
    allowances: AllowanceManager,
) -> RouteIndex | None:
    """Returns the index of the newest configuration.

    This is ``index`` itself if the changes contain no newer one. An older one, such as
    that of a store that came back from an older copy, is never applied. For a newer
    configuration, ``allowances`` receives the prepaid tokens of each workspace. An
    invalid document is logged and ignored.
    """
    for row in changes.rows:
        if row.key != documents.configuration_key:
            continue
        try:
            configuration = documents.decode_configuration(row.value)
        except DocumentError as error:
            log_event(Event.DOCUMENT_IGNORED, version=row.version, reason=str(error))
            continue
        if index is not None and not _supersedes(configuration, index.configuration):
            continue
        index = RouteIndex(configuration)
        for workspace in configuration.workspaces:
            if workspace.prepaid is not None:
                allowances.set_prepaid(workspace.name, workspace.prepaid)
        log_event(
            Event.CONFIGURATION_APPLIED,
            version=configuration.version,
            routes=len(configuration.routes),
            workspaces=len(configuration.workspaces),
        )
    return index


def _supersedes(
    configuration: GatewayConfiguration, current: GatewayConfiguration
) -> bool:
    """Returns whether a configuration replaces the current one.

    The same version with another content was given out again after the store had
    lost the first.
    """
    if configuration.version == current.version:
        return configuration != current
    return configuration.version > current.version


def apply_endpoints(
    directory: EndpointDirectory,
    changes: Changes,
    documents: DocumentFormat,
    now: float,
) -> DirectoryChange:
    """Applies added, changed and removed endpoints to the directory.

    ``now`` is in seconds. Returns the endpoints that a new incarnation replaced. An
    invalid entry is logged, and names no endpoint: one that had a valid entry before is
    treated as if its entry had been removed.
    """
    prefix = f"{documents.endpoint_table}//"
    rows = [row for row in changes.rows if row.key.startswith(prefix)]
    decoded = {row.key: _decode_entry(row, prefix, documents) for row in rows}
    entries = [entry for entry in decoded.values() if entry is not None]
    if changes.restored:
        ended = directory.restore(entries, now).ended
    elif changes.complete:
        ended = directory.replace(entries, now).ended
    else:
        ended = tuple(name for entry in entries for name in directory.put(entry).ended)
    for key in changes.removed:
        if key.startswith(prefix):
            log_event(Event.ENDPOINT_GONE, endpoint=key.removeprefix(prefix))
            directory.remove(key.removeprefix(prefix), now)
    for key, entry in decoded.items():
        if entry is None:
            directory.remove(key.removeprefix(prefix), now)
    return DirectoryChange(ended)


def _decode_entry(
    row: Row, prefix: str, documents: DocumentFormat
) -> EndpointEntry | None:
    name = row.key.removeprefix(prefix)
    try:
        entry = documents.decode_endpoint(name, row.value)
    except DocumentError as error:
        log_ignored(row.key, str(error))
        return None
    log_event(
        Event.ENDPOINT_SEEN,
        endpoint=name,
        service=entry.service,
        leaving=entry.leaving,
        software_version=entry.software_version,
        version=row.version,
    )
    return entry
