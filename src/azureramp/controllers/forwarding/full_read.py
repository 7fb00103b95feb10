"""Reads all entries of the store, page by page."""

from __future__ import annotations

import expression

from azureramp import errors
from azureramp.policy import store_copy
from azureramp.ports.store import api


class FullRead:
    """A read of all entries that continues after a page that failed.

    The pages are no consistent snapshot. A watch from the revision of the first
    page returns whatever changed while the others were read; if that takes
    longer than the store keeps its history, the watch fails and all entries
    are read again.

    Attributes:
        is_complete: True once all pages have been read.
        revision: The store's revision when the first page was read.
    """

    __slots__ = (
        "_after",
        "_changed",
        "_copy",
        "_present",
        "_store",
        "is_complete",
        "revision",
    )

    def __init__(
        self, store: api.PagedStore, copy: store_copy.StoreCopy
    ) -> None:
        """Creates a read without any page.

        Args:
            store: The store.
            copy: The copy whose entries are compared with those read.
        """
        self._store = store
        self._copy = copy
        self._after = ""
        self._present: set[str] = set()
        self._changed: list[api.Entry] = []
        self.is_complete = False
        self.revision = 0

    async def read_page(self) -> errors.Failure | None:
        """Reads the next page; returns the reason if that failed."""
        result: expression.Result[api.Page, errors.Failure]
        result = await self._store.read_page("", self._after)
        if result.is_error():
            return result.error
        page = result.ok
        if not self._after:
            self.revision = page.revision
        for entry in page.entries:
            self._present.add(entry.key)
            if entry.revision != self._copy.get_revision(entry.key):
                self._changed.append(entry)
        self.is_complete = not page.has_more
        if page.entries:
            self._after = page.entries[-1].key
        return None

    def count(self) -> int:
        """Returns the number of entries read."""
        return len(self._present)

    def list_changes(self) -> tuple[api.Entry, ...]:
        """Returns the differences of the copy: deletions, then new entries."""
        deleted = [
            api.Entry(key, None, self.revision)
            for key in self._copy.list_keys()
            if key not in self._present
        ]
        return (*deleted, *self._changed)
