"""The alarms: their numbers, what each means, and what to do. The operators' guide carries the same table."""

# name -> (number, what it means, what to do)
TABLE = {
    'link_unhealthy': (601, "A minion's heartbeats have stopped.", 'Look at the machine; runbook "minion lost".'),
    'minion_suspect': (
        602,
        'Several tasks in a row came to nothing on a minion while most others do well.',
        'Look at the machine; drain it.',
    ),
    'node_out_of_sight': (603, 'Two or more watchers no longer hear a node.', 'Runbook "node lost".'),
    'minion_speaks_oddly': (604, "A minion's answers are not those of docs/minion.md.", 'Look at its version.'),
    'config_unreadable': (
        605,
        "A configuration was delivered that this release can't read.",
        'Upgrade this node; it goes on with the old one.',
    ),
    'bad_settings': (606, 'A settings file was refused on SIGHUP.', 'Correct the listed paths, send SIGHUP again.'),
    'history_lost': (
        607,
        'The store of old configurations could not be read and was begun anew.',
        'Nothing; what is in force is not touched.',
    ),
    'no_bind': (
        608,
        'An address of the settings could not be bound; the process did not start.',
        'See who listens there.',
    ),
    'disk_trouble': (
        609,
        'A sync failed (full, broken); the process left so that others take over.',
        'Make room or replace the disk, start it again.',
    ),
    'corrupt': (610, "The data folder can't be read; the process did not start.", 'Runbook "disk wiped".'),
    'store_set_aside': (
        612,
        "The data file couldn't be read; it was set aside, and the process began anew with an empty one.",
        'Nothing, unless it happens on several machines: then keep the files set aside. Look at the disk.',
    ),
    'inner_fault': (611, 'A fault of ours, with its trace.', 'Report it.'),
}


class Alarms:
    """Those that stand now in one process: raised once, cleared when the cause is over."""

    __slots__ = ('on',)

    def __init__(self):
        self.on = {}

    def take(self, nam, about, wall, kws):
        """Whether it is new."""
        new = (nam, about) not in self.on
        self.on.setdefault((nam, about), {'since': wall, 'fields': kws})
        return new

    def clear(self, nam, about):
        """Whether it stood; `about` None clears all of the name."""
        got = [k for k in self.on if k[0] == nam and about in (None, k[1])]
        for k in got:
            del self.on[k]
        return got

    def rows(self):
        return [
            {
                'number': TABLE[n][0],
                'alarm': n,
                'about': a,
                'since': r['since'],
                'text': TABLE[n][1],
                'cure': TABLE[n][2],
            }
            for (n, a), r in sorted(self.on.items())
        ]
