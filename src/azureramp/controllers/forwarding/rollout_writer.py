"""Writes roll-out records for VMs, and their statuses for operators."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from azureramp import rollout_types
from azureramp.controllers.forwarding import store_contact
from azureramp.policy import store_copy
from azureramp.ports.store import api as store_api

MakeKeys = Callable[[str], tuple[str, str]]
"""Returns the keys of the record and of the status of a service's roll-out."""

EncodeRecord = Callable[[rollout_types.Record], tuple[bytes, bytes]]
"""Returns the values of a record and of its status."""

_logger = logbook.Logger("azureramp.rollout_writer")


class RecordWriter:
    """Writes records and statuses together."""

    __slots__ = ("_contact", "_copy", "_encode", "_make_keys", "_store")

    def __init__(
        self,
        store: store_api.BatchStore,
        copy: store_copy.StoreCopy,
        make_keys: MakeKeys,
        encode: EncodeRecord,
        contacts: store_contact.StoreContactTracker,
    ) -> None:
        """Creates a writer.

        Args:
            store: The store.
            copy: This VM's copy of the store's entries.
            make_keys: Returns the keys of a roll-out's record and status.
            encode: Returns the values of a roll-out's record and status.
            contacts: Records the outcome of store calls.
        """
        self._store = store
        self._copy = copy
        self._make_keys = make_keys
        self._encode = encode
        self._contact = contacts

    def get_revision(self, service: str) -> int:
        """Returns the latest known revision of a service's record.

        Args:
            service: The service's name.
        """
        key, _ = self._make_keys(service)
        return self._copy.get_revision(key)

    async def write(
        self, record: rollout_types.Record, expected: int
    ) -> int | None:
        """Writes a record and its status on condition of the record's revision.

        Args:
            record: The record to write.
            expected: The revision that the record must have in the store.

        Returns:
            The new revision; None if the write failed or its outcome is
            unknown.
        """
        key, status_key = self._make_keys(record.order.service)
        value, status = self._encode(record)
        status_expected = self._copy.get_revision(status_key)
        for _ in range(2):
            result = await self._store.write_batch(
                (
                    store_api.Change(key, value, expected),
                    store_api.Change(status_key, status, status_expected),
                )
            )
            if result.is_error():
                self._contact.record_failure(result.error)
                _logger.warning(
                    "could not write the record of the roll-out of {}: {}",
                    record.order.service,
                    result.error.kind.value,
                )
                return None
            self._contact.record_success()
            match result.ok:
                case store_api.Written(revision=revision):
                    return revision
                case store_api.BatchConflict(revisions=revisions):
                    if revisions[key] != expected:
                        _logger.info(
                            "another VM has written the record of the "
                            "roll-out of {}",
                            record.order.service,
                        )
                        return None
                    status_expected = revisions[status_key]
        return None
