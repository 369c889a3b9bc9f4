"""What peers may make this process hold in memory, by the limit of its settings.

What is left between the process at rest and its target is shared out: to the connections of clients, to
requests that are still being received, and to messages that are accepted and have not ended. Decisions alone:
no I/O; all figures are bytes unless their names say otherwise.
"""

from __future__ import annotations

TARGET_SHARE = 0.85  # of the limit: the rest is for what is not accounted for
CONNECTION_BYTES = 3 * 1024  # of a client's connection with no request on it
MESSAGE_BYTES = 3 * 1024  # of an accepted message besides its body
FEWEST_CONNECTIONS = 128
CONNECTIONS_SHARE, RECEIVING_SHARE, ACCEPTED_SHARE = 0.35, 0.2, 0.35  # of what is left over
LEAST_LEFT_BYTES = 4 << 20  # where the process at rest takes nearly all


class MemoryBudget:
    """The bounds that follow from a limit and from what the process takes at rest."""

    def __init__(self, limit_bytes: int, resident_bytes: int, processes: int = 1) -> None:
        """`resident_bytes`: of each of so many processes that share the limit."""
        left = max(LEAST_LEFT_BYTES, int(TARGET_SHARE * limit_bytes) // processes - resident_bytes)
        self.connections = max(FEWEST_CONNECTIONS, int(CONNECTIONS_SHARE * left) // CONNECTION_BYTES)
        self.receiving_bytes = int(RECEIVING_SHARE * left)
        self.accepted_bytes = int(ACCEPTED_SHARE * left)

    def may_accept(self, held: int, held_body_bytes: int, body_bytes: int) -> bool:
        """Whether a message with a body of so many bytes has room beside those that are held."""
        return bytes_of_messages(held + 1, held_body_bytes + body_bytes) <= self.accepted_bytes


def bytes_of_messages(held: int, body_bytes: int) -> int:
    """What so many messages take whose bodies have so many bytes together."""
    return held * MESSAGE_BYTES + body_bytes
