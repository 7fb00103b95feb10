"""Daemons that violate one guarantee each, to prove that the checks find it."""

from __future__ import annotations

import dataclasses
import os
import sys
from collections.abc import Callable
from typing import Any

import msgspec

from azureramp import errors
from azureramp.controllers.forwarding import (
    account_limits,
    entry_applier,
    leaving,
    members,
    part,
    searchers,
    shared_limits,
)
from azureramp.platform import command, decoding, headers, program, store
from azureramp.policy import (
    allowances,
    identity,
    merging,
    routing,
    store_copy,
)
from azureramp_standins.soak import accounts, daemons

patch: Any = setattr


def repeat_everything() -> None:
    """Retries non-idempotent requests too."""
    patch(decoding, "REPEATABLE", "non_idempotent")


def promise_not_run() -> None:
    """Reports requests with an unknown outcome as not run."""
    for kind in (errors.Kind.OUTCOME_UNKNOWN, errors.Kind.DEADLINE_PASSED):
        answer = errors.ANSWERS[kind]
        patch(
            errors,
            "ANSWERS",
            {**errors.ANSWERS, kind: dataclasses.replace(answer, status=503)},
        )


def use_leaving_searchers() -> None:
    """Sends calls to searchers in any state and zone."""
    patch(searchers.Searchers, "_is_usable", lambda self, target, sides: True)


def keep_removed_searchers() -> None:
    """Ignores the removal of searchers' entries."""
    patch(
        entry_applier.EntryApplier,
        "_handle_missing_searcher",
        lambda self, searcher, entry: None,
    )


def skip_deletions() -> None:
    """Answers followers about deletions from before the start of the relay."""
    patch(store_copy.StoreCopy, "begin_history", lambda self, revision: None)


def keep_first_version() -> None:
    """Ignores every configuration after the first."""
    take = entry_applier.EntryApplier._take_configuration

    def take_first(self: Any, new: Any) -> None:
        if self._board.configuration is None:
            take(self, new)

    patch(entry_applier.EntryApplier, "_take_configuration", take_first)


def repeat_unusable_reads() -> None:
    """Takes answers of the store that can't be used for an outage."""
    patch(
        store, "_to_read_kind", lambda answered: errors.Kind.STORE_UNAVAILABLE
    )


def stop_at_once() -> None:
    """Exits at SIGTERM without waiting for running requests."""

    async def leave(board: Any, others: Any, front: Any) -> int:
        board.leaving = True
        return int(await front.stop(0.0))

    patch(leaving, "leave", leave)


def spend_without_bound() -> None:
    """Makes extra calls without a retry budget."""
    patch(allowances.Allowance, "spend", lambda self, now_s, part: True)


def retry_without_bound() -> None:
    """Retries failed calls on up to 20 searchers, without a retry budget."""
    patch(part.Part, "_may_send", lambda self: len(self._attempts) < 20)
    patch(part.Part, "_tried", property(lambda self: set(), _ignore))
    spend_without_bound()


def _ignore(owner: object, value: object) -> None:
    """Discards an assigned value."""


def load_cold_searchers() -> None:
    """Sends cold searchers as many calls as warm ones."""
    patch(
        shared_limits.SharedLimits,
        "is_warm_enough",
        lambda self, target, now: True,
    )


def hand_out_more_time() -> None:
    """Gives searchers a deadline of 60 seconds."""
    encode = headers.Codec.encode_call

    def encode_call(self: Any, call: Any) -> Any:
        return encode(self, dataclasses.replace(call, left_s=60.0))

    patch(headers.Codec, "encode_call", encode_call)


def lose_records() -> None:
    """Omits the greatest record of each merged answer."""
    merge = merging.merge
    patch(
        merging,
        "merge",
        lambda parts, most: merge(parts, most)[merging.RECORD_BYTES :],
    )


def take_any_answer() -> None:
    """Accepts the next answer on a connection regardless of its request id."""
    patch(headers.Codec, "read_id", lambda self, fields: _Anything())


def refuse_known_routes() -> None:
    """Answers 404 for a configured route."""
    find = routing.RoutingTable.find

    def find_some(self: Any, host: str, path: str) -> Any:
        return None if path.startswith("/one/") else find(self, host, path)

    patch(routing.RoutingTable, "find", find_some)


def name_the_dead() -> None:
    """Never removes a VM from the members."""
    patch(members.MemberTracker, "remove", lambda self, vm, settled: None)


def pass_keys_on() -> None:
    """Forwards the callers' own headers on their identity to searchers."""
    encode = headers.Codec.encode_message

    def encode_message(self: Any, message: Any) -> Any:
        return [*encode(self, message), *message.identity_headers]

    patch(headers.Codec, "encode_message", encode_message)


def tell_wrong_account() -> None:
    """Tells searchers the same account for every request with a key."""
    encode = headers.Codec.encode_message

    def encode_message(self: Any, message: Any) -> Any:
        if message.account:
            message.account = accounts.NAMES[-1]
        return encode(self, message)

    patch(headers.Codec, "encode_message", encode_message)


def accept_any_key() -> None:
    """Treats unknown keys as keys of one of the accounts."""
    find = identity.find_account
    patch(
        identity,
        "find_account",
        lambda known, key: (
            find(known, key) or known.by_name[accounts.NAMES[-1]]
        ),
    )


def keep_revoked_keys() -> None:
    """Accepts every key that was valid at some time."""
    find = identity.find_account
    found: dict[str, Any] = {}

    def find_ever(known: Any, key: str) -> Any:
        found.update(known.by_key_hash)
        return find(known, key) or found.get(identity.hash_token(key))

    patch(identity, "find_account", find_ever)


def refuse_known_keys() -> None:
    """Refuses the keys of one account."""
    find = identity.find_account

    def find_some(known: Any, key: str) -> Any:
        account = find(known, key)
        refused = account is not None and account.name == accounts.NAMES[-1]
        return None if refused else account

    patch(identity, "find_account", find_some)


def ignore_new_keys() -> None:
    """Refuses the keys that are not in the first known configuration."""
    find = identity.find_account
    first: list[Any] = []

    def find_first(known: Any, key: str) -> Any:
        first.append(known)
        del first[1:]
        return find(first[0], key)

    patch(identity, "find_account", find_first)


def admit_all() -> None:
    """Admits requests beyond an account's limit."""

    async def take(self: Any, *details: Any) -> None:
        return None

    patch(account_limits.AccountLimits, "take", take)


def listen_behind_proxy(address: str) -> None:
    """Makes the daemon listen for other VMs on another than its own address.

    Args:
        address: The `IP:port`; a proxy listens on the announced one.
    """
    make = program.Program._make_servers

    def make_servers(self: Any, process_settings: Any) -> Any:
        own = dataclasses.replace(
            process_settings.identity, peer_address=address
        )
        return make(
            self, msgspec.structs.replace(process_settings, identity=own)
        )

    patch(program.Program, "_make_servers", make_servers)


class _Anything:
    """Compares equal to any object."""

    def __eq__(self, other: object) -> bool:
        return True

    def __hash__(self) -> int:
        return 0


MUTANTS: dict[str, tuple[Callable[[], None], str]] = {
    "repeat_everything": (repeat_everything, "once"),
    "promise_not_run": (promise_not_run, "refused"),
    "use_leaving_searchers": (use_leaving_searchers, "drain"),
    "keep_removed_searchers": (keep_removed_searchers, "leave"),
    "skip_deletions": (skip_deletions, "leave"),
    "keep_first_version": (keep_first_version, "configured"),
    "stop_at_once": (stop_at_once, "stop"),
    "spend_without_bound": (spend_without_bound, "budget"),
    "retry_without_bound": (retry_without_bound, "attempts"),
    "load_cold_searchers": (load_cold_searchers, "cold"),
    "hand_out_more_time": (hand_out_more_time, "deadline"),
    "lose_records": (lose_records, "whole"),
    "take_any_answer": (take_any_answer, "whole"),
    "name_the_dead": (name_the_dead, "named"),
    "refuse_known_routes": (refuse_known_routes, "allowed"),
    "repeat_unusable_reads": (repeat_unusable_reads, "configured"),
    "pass_keys_on": (pass_keys_on, "told"),
    "tell_wrong_account": (tell_wrong_account, "told"),
    "accept_any_key": (accept_any_key, "held"),
    "keep_revoked_keys": (keep_revoked_keys, "revoked"),
    "refuse_known_keys": (refuse_known_keys, "allowed"),
    "ignore_new_keys": (ignore_new_keys, "known"),
    "admit_all": (admit_all, "limit"),
}
"""Each mutant's function and the name of the guarantee that it violates."""


def main() -> None:
    """Runs the daemon with the mutant named by the only argument.

    An empty argument runs the real daemon, for which only the address that it
    listens on may be changed; see `listen_behind_proxy`.
    """
    name = sys.argv.pop(1)
    if name:
        mutate, _ = MUTANTS[name]
        mutate()
    peer_listener = os.environ.get(daemons.PEER_LISTENER_VARIABLE, "")
    if peer_listener:
        listen_behind_proxy(peer_listener)
    command.main()


if __name__ == "__main__":
    main()
