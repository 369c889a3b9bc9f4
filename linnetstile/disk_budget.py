"""What the journal may take of the state folder, and when its file is compacted.

A compaction writes the new file beside the old one, so a message is accepted only where both still fit.
Decisions alone: no I/O, no clock. All figures are bytes; files count in whole blocks.
"""

from __future__ import annotations

from dataclasses import dataclass

BLOCK_BYTES = 512
RESERVE_BYTES = 64 * BLOCK_BYTES  # for the records of messages that are held already
SMALLEST_COMPACTED_BYTES = 256 * 1024  # a file under this size is left alone


def in_blocks(size_bytes: int) -> int:
    """What a file of this size takes."""
    return -(-size_bytes // BLOCK_BYTES) * BLOCK_BYTES


@dataclass(frozen=True, slots=True)
class FileSizes:
    """The journal's file: as it is, and as far as it still counts."""

    size_bytes: int
    live_bytes: int  # what a compaction would leave of it, at most


@dataclass(frozen=True, slots=True)
class _FailedCompaction:
    sizes: FileSizes
    room_bytes: int
    excess_bytes: int | None  # by so much old and new did not fit; None: the folder refused it


class DiskBudget:
    """The folder's limit, shared with the files of the relay's other processes."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes // BLOCK_BYTES * BLOCK_BYTES
        self.room_bytes = self.limit_bytes  # for this process's files, as of the latest look at the folder
        self.failed_compactions = 0
        self._failed: _FailedCompaction | None = None

    def room(self, others_bytes: int, shared: bool) -> int:
        """For this process's files, where all others in the folder take so much. Two processes (`shared`)
        write between each other's looks, which a reserve of each covers."""
        return self.limit_bytes - others_bytes - (2 * RESERVE_BYTES if shared else 0)

    def accepts(self, live_bytes: int) -> bool:
        """Whether so much may be live, so that a compaction and the records to come stay possible."""
        return 2 * in_blocks(live_bytes) + 2 * RESERVE_BYTES <= self.room_bytes

    def asks_for_compaction(self, sizes: FileSizes, more_bytes: int) -> bool:
        """Whether a record of this size would leave the next compaction too little room."""
        both = in_blocks(sizes.size_bytes + more_bytes) + in_blocks(sizes.live_bytes + more_bytes)
        return both > self.room_bytes - RESERVE_BYTES

    def compaction_excess(self, sizes: FileSizes, room_bytes: int, shared: bool) -> int:
        """By how much the old file and a new one of `live_bytes` do not fit: 0 if they do. Beside another
        process's file a compaction may use one of the two reserves, since it gives back more."""
        both = in_blocks(sizes.size_bytes) + in_blocks(sizes.live_bytes)
        return max(0, both - room_bytes - RESERVE_BYTES * shared)

    def compaction_failed(self, sizes: FileSizes, excess_bytes: int | None) -> None:
        """Notes it, so that it is not tried again before something has changed."""
        self.failed_compactions += 1
        self._failed = _FailedCompaction(sizes, self.room_bytes, excess_bytes)

    def retry_compaction(self) -> None:
        """Some time has passed, or the last one has succeeded: the next may be tried at once."""
        self._failed = None

    def compaction_may_succeed(self, sizes: FileSizes) -> bool:
        """Whether enough has changed since the one that failed; a whole one that fails holds up the loop."""
        failed = self._failed
        if failed is None:
            return True
        if failed.excess_bytes is None:
            return False
        gained = failed.sizes.live_bytes - sizes.live_bytes
        gained += failed.sizes.size_bytes - sizes.size_bytes
        gained += self.room_bytes - failed.room_bytes
        return gained >= max(failed.excess_bytes, RESERVE_BYTES)
