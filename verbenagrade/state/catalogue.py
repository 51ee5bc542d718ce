"""The configuration that an instance uses."""

from collections.abc import Iterable

from verbenagrade.exceptions import NotFoundError
from verbenagrade.state.resources import (
    EndpointAddress,
    Pool,
    Resource,
    Route,
    Workspace,
)

__all__ = ["Catalogue"]


class Catalogue:
    """All resources at one revision, which never decreases."""

    def __init__(self) -> None:
        self.revision = 0
        self.resources: dict[tuple[str, str], Resource] = {}
        self.workspace_by_key: dict[str, str] = {}

    def apply(self, changes: Iterable[Resource], revision: int) -> None:
        """Applies the changes that lead to a revision, unless it is already applied."""
        if revision <= self.revision:
            return
        for resource in changes:
            self._apply_resource(resource)
        self.revision = revision

    def preload(self, resources: Iterable[Resource]) -> None:
        """Adds resources in the initial load, before ``apply`` sets the revision."""
        for resource in resources:
            self._apply_resource(resource)

    def workspace_of(self, api_key: str) -> tuple[str, Workspace]:
        """Returns the name and workspace that an API key belongs to.

        Raises ``NotFoundError`` if the key is unknown.
        """
        name = self.workspace_by_key.get(api_key)
        if name is None:
            raise NotFoundError("this API key is not known; ask an operator for one")
        return name, self._spec("workspace", name)

    def route(self, workspace: Workspace, name: str) -> Route:
        """Returns a route of a workspace.

        Raises ``NotFoundError`` if the workspace may not use it, or if the route
        is not declared.
        """
        if name not in workspace.routes:
            raise NotFoundError(
                f"route {name!r} is not open to this workspace; use one of"
                f" {', '.join(workspace.routes)}"
            )
        return self._spec("route", name)

    def pool(self, name: str) -> Pool:
        """Returns a pool; raises ``NotFoundError`` if it is not declared."""
        return self._spec("pool", name)

    def find_endpoint(self, name: str) -> tuple[EndpointAddress, bool] | None:
        """Returns an endpoint and whether it is a model engine.

        Returns ``None`` if no pool has an endpoint of this name.
        """
        for resource in self.resources.values():
            if not isinstance(resource.spec, Pool):
                continue
            for endpoint in resource.spec.endpoints:
                if endpoint.name == name:
                    return endpoint, resource.spec.engine
        return None

    def _spec(self, kind: str, name: str) -> Workspace | Route | Pool:
        resource = self.resources.get((kind, name))
        if resource is None:
            raise NotFoundError(f"{kind} {name!r} is not declared; apply it first")
        return resource.spec

    def _apply_resource(self, resource: Resource) -> None:
        known = self.resources.get((resource.kind, resource.name))
        if known is not None and known.revision >= resource.revision:
            return
        self.resources[resource.kind, resource.name] = resource
        if isinstance(resource.spec, Workspace):
            self._index_keys(resource.name, resource.spec)

    def _index_keys(self, name: str, spec: Workspace) -> None:
        old_keys = [k for k, owner in self.workspace_by_key.items() if owner == name]
        for key in old_keys:
            del self.workspace_by_key[key]
        for key in spec.api_keys:
            self.workspace_by_key[key] = name
