"""Which errors of system calls speak of this machine, of a peer, or of the program, as Linux documents them.

A call that fails for this machine's sake is tried again after a pause with jitter, and is no evidence against
the peer. Sources: accept(2), connect(2), socket(2), bind(2), listen(2), write(2) and open(2).
"""

from __future__ import annotations

import errno

# Something of this machine's is used up for a moment.
SHORTAGE = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EINTR))

# send(2) says so while it could not queue the bytes; the connection is sound.
SEND_AGAIN = frozenset((errno.ENOBUFS, errno.ENOMEM))

# A connection that was never begun: no port, no route, no interface, no leave. A peer cannot cause these.
NOT_BEGUN = SHORTAGE | {
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.EPERM,
    errno.EACCES,
}

# accept(2) passes on errors of the connection that it would have returned: the next one may be sound.
ACCEPT_NEXT = frozenset(
    (
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ETIMEDOUT,
        errno.EPERM,
    )
)

# A start waits for these to pass. All else (a folder that does not exist, another program's address) ends it
# with a line that says why. None: raised by the program itself, where two processes start at once.
START_WAITS = SHORTAGE | {
    None,
    errno.EIO,
    errno.ENOSPC,
    errno.EDQUOT,
    errno.EBUSY,
    errno.ENOLCK,
    errno.ESTALE,
    errno.ETIMEDOUT,
    errno.EADDRNOTAVAIL,
    errno.ENETDOWN,
    errno.ENETUNREACH,
}
