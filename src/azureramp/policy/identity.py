"""Authentication and authorization of callers."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable, Mapping, Sequence

import expression

from azureramp import catalog, errors, resources
from azureramp.policy import topology

SCHEME = "bearer "
MAX_TOKEN_CHARACTERS = 512


def hash_token(token: str) -> str:
    """Returns the lower-case hexadecimal SHA-256 of a token."""
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).hexdigest()


def extract_token(values: Sequence[str], scheme: str) -> str:
    """Returns the token of a request's `Authorization` headers.

    Args:
        values: The values of all such headers.
        scheme: The authentication scheme with a trailing space, in lower case.

    Returns:
        The token; empty if there is none, or if several headers leave open
        which one applies.
    """
    if len(values) != 1 or not values[0].lower().startswith(scheme):
        return ""
    token = values[0][len(scheme) :].lstrip(" ")
    return token if len(token) <= MAX_TOKEN_CHARACTERS else ""


def index_accounts(
    accounts: Iterable[catalog.Account], problems: Iterable[str] = ()
) -> catalog.Accounts:
    """Indexes client accounts; see `catalog.Accounts`.

    Args:
        accounts: The accounts. Of several with one name the last one counts.
        problems: What was wrong with entries that are not among them.
    """
    found = list(problems)
    by_name: dict[str, catalog.Account] = {}
    for account in accounts:
        if account.name in by_name:
            found.append(f"account {account.name} has several entries")
        by_name[account.name] = account
    by_key_hash: dict[str, catalog.Account] = {}
    shared: set[str] = set()
    for account in by_name.values():
        if not account.key_hashes:
            found.append(f"account {account.name} has no key")
        for key_hash in account.key_hashes:
            holder = by_key_hash.setdefault(key_hash, account)
            if holder is not account:
                shared.add(key_hash)
                found.append(
                    f"accounts {holder.name} and {account.name} share a key,"
                    " which identifies neither"
                )
    for key_hash in shared:
        del by_key_hash[key_hash]
    return catalog.Accounts(by_name, by_key_hash, tuple(found))


def find_account(
    accounts: catalog.Accounts, key: str
) -> catalog.Account | None:
    """Returns the client account that holds a key; None if there is none.

    The lookup uses the key's hash, so its timing reveals nothing of the keys.
    """
    return accounts.by_key_hash.get(hash_token(key)) if key else None


def find_caller(
    callers: Mapping[str, tuple[resources.Caller, ...]], authorization: str
) -> expression.Result[resources.Caller, errors.Failure]:
    """Authenticates the caller of an `Authorization` header.

    The lookup uses the token's hash, never the token: its timing reveals at
    most a hash, from which the token can't be derived. The final comparison
    takes constant time. Revoked callers and tokens that two callers share are
    answered like unknown tokens.

    Args:
        callers: The callers by the hash of their token.
        authorization: The header's value.

    Returns:
        The caller, or `UNAUTHENTICATED`.
    """
    refused = expression.Error(errors.Failure(errors.Kind.UNAUTHENTICATED))
    token = extract_token((authorization,), SCHEME)
    if not token:
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
    """Authorizes a caller to query an index for a service.

    An unknown service or index gives the same answer as a forbidden one, so
    that a caller can't find out which ones exist.

    Args:
        table: The configuration.
        caller: The caller.
        service_name: The service named in the request.
        index: The index named in the request.

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
    """Returns True if a service may query a shard."""
    return not service.shards or shard.name in service.shards
