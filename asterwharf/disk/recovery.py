"""What a process does whose store can't be read: it begins anew as another incarnation, once.

The unreadable file is set aside, never removed. The new store has a new incarnation, and is no founder's: to its
group this is a member that has lost its disk. It counts for nothing until it has been brought up by a snapshot and
given its place again, so it can't vote on what it has forgotten. Where a file lies aside already, or there is no
room for two, an operator decides.
"""

import os

from asterwharf.disk import files
from asterwharf.disk.store import DATA, Store, Unreadable

ASIDE = 'data.mdb.unreadable'
# of the room for the store: what a file may take that lies aside
ASIDE_SHARE = 1 / 4


def open_store(path, disk_mb, founding, say):
    """The store of `path`, checked; begun anew where it can't be read. Raises Corrupt.

    `say(level, event, **fields)` is told of a store that was set aside.
    """
    try:
        store = Store(path, disk_mb, founding)
        store.check()
        return store
    except Unreadable as e:
        if not _set_aside(path, disk_mb):
            raise
        say('error', 'alarm', alarm='store_set_aside', code=501, why=str(e))
    return Store(path, disk_mb)


def _set_aside(path, disk_mb):
    """Whether the file lies aside now."""
    data, aside = os.path.join(path, DATA), os.path.join(path, ASIDE)
    if os.path.exists(aside) or os.path.getsize(data) > (disk_mb << 20) * ASIDE_SHARE:
        return False
    files.rename(data, aside)
    return True
