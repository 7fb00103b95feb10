"""Resource files in YAML or JSON."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Any

import expression
import msgspec
import yaml

from azureramp import resources

KINDS_IN_ORDER = (
    resources.Zone,
    resources.Service,
    resources.BackendServer,
    resources.ShardMap,
    resources.Caller,
    resources.Policy,
)
"""The kinds in dependency order: each refers only to earlier ones."""


@dataclasses.dataclass(slots=True, frozen=True)
class DeclaredResource:
    """A resource declared in a file.

    Attributes:
        resource: The resource.
        revision: The expected revision, or None if the file states none.
    """

    resource: resources.AnyResource
    revision: int | None


def read(path: str) -> expression.Result[list[DeclaredResource], str]:
    """Reads a file with one or more resources.

    The file contains JSON or YAML documents; each is a resource or a list of
    resources. A field `revision` states the revision that the operator
    expects the stored resource to have.

    Args:
        path: The file's path.

    Returns:
        The resources in the order of the file, or an error message with the
        path and, for an invalid resource, its number in the file.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        documents = list(yaml.safe_load_all(text))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        return expression.Error(f"{path}: {' '.join(str(error).split())}")
    items: list[Any] = []
    for document in documents:
        if isinstance(document, list):
            items.extend(document)
        elif document is not None:
            items.append(document)
    declared: list[DeclaredResource] = []
    for number, item in enumerate(items, start=1):
        try:
            declared.append(_convert(item))
        except msgspec.ValidationError as error:
            return expression.Error(f"{path}: resource {number}: {error}")
    if not declared:
        return expression.Error(f"{path}: contains no resource")
    return expression.Ok(declared)


def get_dependency_rank(resource: resources.AnyResource) -> int:
    """Returns the position of a resource's kind in dependency order."""
    return KINDS_IN_ORDER.index(type(resource))


def _convert(item: Any) -> DeclaredResource:
    """Converts a decoded YAML or JSON value to a resource.

    Raises:
        msgspec.ValidationError: The value is not a valid resource.
    """
    revision: int | None = None
    if isinstance(item, dict) and "revision" in item:
        item = dict(item)
        revision = msgspec.convert(item.pop("revision"), int)
    resource = msgspec.convert(item, resources.AnyResource)
    return DeclaredResource(resource, revision)
