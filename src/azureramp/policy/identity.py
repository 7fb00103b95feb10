"""Who a caller is, and what it may query."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping

import expression

from azureramp import errors, resources
from azureramp.policy import topology

SCHEME = "bearer "
MAX_TOKEN_CHARACTERS = 512


def hash_token(token: str) -> str:
    """Returns the lower-case hexadecimal SHA-256 of a token."""
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).hexdigest()


def find_caller(
    callers: Mapping[str, tuple[resources.Caller, ...]], authorization: str
) -> expression.Result[resources.Caller, errors.Failure]:
    """Finds the caller that an `Authorization` header belongs to.

    The table is looked up by the token's hash, never by the token: how long
    the lookup takes tells at most of a hash, from which no token follows. The
    final comparison takes the same time for all. A revoked caller and a
    token that two callers share get the answer of an unknown token.

    Args:
        callers: The callers by token hash.
        authorization: The header's value.

    Returns:
        The caller, or `UNAUTHENTICATED`.
    """
    refused = expression.Error(errors.Failure(errors.Kind.UNAUTHENTICATED))
    token = authorization[len(SCHEME) :]
    if not authorization.lower().startswith(SCHEME) or not token:
        return refused
    if len(token) > MAX_TOKEN_CHARACTERS:
        return refused
    sha256 = hash_token(token)
    found = callers.get(sha256, ())
    if len(found) != 1 or found[0].revoked:
        return refused
    stored = found[0].token_sha256.lower().encode()
    if not hmac.compare_digest(stored, sha256.encode()):
        return refused
    return expression.Ok(found[0])


def check_service(
    table: topology.Topology,
    caller: resources.Caller,
    service_name: str,
    index: str,
) -> expression.Result[resources.Service, errors.Failure]:
    """Checks that a caller may query an index for a service.

    An unknown service or index gets the answer of a forbidden one, so that a
    caller can't find out what exists.

    Args:
        table: The configuration.
        caller: The caller.
        service_name: The service that it named.
        index: The index that it named.

    Returns:
        The service, or `FORBIDDEN`.
    """
    service = table.services.get(service_name)
    if (
        service is None
        or service_name not in caller.services
        or index not in service.indexes
    ):
        return expression.Error(errors.Failure(errors.Kind.FORBIDDEN))
    return expression.Ok(service)


def may_query(service: resources.Service, shard: resources.Shard) -> bool:
    """Tells whether a service may query a shard."""
    return not service.shards or shard.name in service.shards
