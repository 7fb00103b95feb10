"""Files of resources, in YAML or JSON."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Any

import expression
import msgspec
import yaml

from azureramp import resources

ORDER = (
    resources.Zone,
    resources.Service,
    resources.BackendServer,
    resources.ShardMap,
    resources.Caller,
    resources.Policy,
)
"""The kinds in an order in which each refers only to earlier ones."""


@dataclasses.dataclass(slots=True, frozen=True)
class Declared:
    """One resource of a file.

    Attributes:
        resource: The resource.
        revision: The revision that the operator saw, if the file states it.
    """

    resource: resources.AnyResource
    revision: int | None


def read(path: str) -> expression.Result[list[Declared], str]:
    """Reads a file with one or more resources.

    A file holds YAML documents or JSON; each is a resource or a list of
    them. A field `revision` states the revision that the operator saw.

    Args:
        path: The file's path.

    Returns:
        The resources in order, or what is wrong, the place included.
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
    declared: list[Declared] = []
    for number, item in enumerate(items, start=1):
        try:
            declared.append(_convert(item))
        except msgspec.ValidationError as error:
            return expression.Error(f"{path}: resource {number}: {error}")
    if not declared:
        return expression.Error(f"{path}: holds no resource")
    return expression.Ok(declared)


def get_order(resource: resources.AnyResource) -> int:
    """Returns a resource's place in the order of writing."""
    return ORDER.index(type(resource))


def _convert(item: Any) -> Declared:
    """Makes a resource of a plain value.

    Raises:
        msgspec.ValidationError: The value is no resource.
    """
    revision: int | None = None
    if isinstance(item, dict) and "revision" in item:
        item = dict(item)
        revision = msgspec.convert(item.pop("revision"), int)
    resource = msgspec.convert(item, resources.AnyResource)
    return Declared(resource, revision)
