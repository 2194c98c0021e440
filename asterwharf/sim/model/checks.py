"""What must hold of a replicated group at each step, whatever happens to it."""

from itertools import combinations

from asterwharf.sim.model import adapter


class Violation(AssertionError):
    """One of the rules is broken; the message says which, and how."""


def require(holds, rule, detail=''):
    if not holds:
        raise Violation(f'{rule}: {detail}')


class Checks:
    """Remembers what was committed, acknowledged and led, and looks at every replica after every step."""

    __slots__ = ('acknowledged', 'chains', 'committed', 'leaders', 'lengths', 'membership', 'newest', 'readies')

    def __init__(self):
        # index -> sum of the history up to it; index -> term; the highest index acknowledged to a client
        self.chains, self.committed, self.acknowledged, self.newest = {}, {}, 0, None
        # term -> (name, life) that leads it; names of those that were ready in it
        self.leaders, self.readies, self.lengths = {}, {}, {}
        # the newest committed membership and the commit index it was seen at
        self.membership = 0, {}

    # --- told by the cluster
    def applied(self, index, chain):
        """A replica has applied the order at `index`."""
        old = self.chains.setdefault(index, chain)
        require(old == chain, 'committed prefixes are equal', f'two histories at index {index}')

    def ended(self, index, raw):
        """A client was told that its order is committed at `index`; `raw` is the entry as it lies on disks."""
        if index > self.acknowledged:
            self.acknowledged, self.newest = index, raw

    def kept(self, disks):
        """The newest acknowledged entry is on the disk of one of every quorum, but for disks lost and not repaired yet."""
        members = self.membership[1]
        if self.newest is None or not members:
            return
        safe = sum(
            disks[n].inc != inc or adapter.on_disk(disks[n], self.acknowledged, self.newest)
            for n, inc in members.items()
        )
        require(
            len(members) - safe < len(members) // 2 + 1,
            'what is acknowledged stays on a disk of every quorum',
            f'index {self.acknowledged}: {safe} of {members}',
        )

    def read(self, index, asked_at):
        require(index >= asked_at, 'no read is older than an acknowledgement', f'{index} < {asked_at}')

    # --- after every step
    def step(self, nodes):
        """`nodes`: every node with a running process."""
        for node in nodes:
            rep = node.replica
            self._prefix(node, rep)
            if rep.leads:
                self._leader(node, rep)
            if rep.changing:
                self._quorums(node, rep)
        self._leases(nodes)

    def _prefix(self, node, rep):
        """Terms of committed entries agree; looked at once for each index and replica."""
        key = node.name, node.life
        done = self.lengths.get(key, 0)
        if rep.commit <= done:
            return
        for index in range(done + 1, rep.commit + 1):
            term = rep.term_at(index)
            if term is not None:
                old = self.committed.setdefault(index, term)
                require(
                    old == term, 'committed prefixes are equal', f'{node.name}: index {index} of terms {old}, {term}'
                )
        self.lengths[key] = rep.commit
        if rep.commit >= self.membership[0]:
            self.membership = rep.commit, dict(rep.committed_members())

    def _leader(self, node, rep):
        who = node.name, node.life
        if rep.term not in self.leaders:
            self.leaders[rep.term] = who
            top = max(self.committed, default=0)
            # all that was committed anywhere is in the log of whoever leads
            require(
                rep.last >= top and (rep.term_at(top) in (None, self.committed.get(top)) or top == 0),
                'a leader has all that was committed',
                f'{node.name} leads term {rep.term} up to {rep.last}, committed is {top}',
            )
        require(
            self.leaders[rep.term] == who, 'one leader a term', f'term {rep.term}: {self.leaders[rep.term]} and {who}'
        )
        if rep.ready and rep.term not in self.readies:
            self.readies[rep.term] = who
            require(
                rep.commit >= self.acknowledged,
                'nothing acknowledged is lost',
                f'{node.name} is ready in term {rep.term} at {rep.commit}, acknowledged is {self.acknowledged}',
            )
        require(
            rep.changes_under_way() <= 1,
            'one change of membership at a time',
            f'{node.name}: {rep.changes_under_way()}',
        )

    def _quorums(self, node, rep):
        """Any quorum of the membership being changed to meets any of the one that is committed."""
        old, new = rep.previous_members(), rep.members
        if len(new) > 5 or old == new:
            return
        # a member that lost its disk is another one under the old name
        everyone, least = sorted({*old.items(), *new.items()}), len(old) // 2 + 1
        for size in range(1, len(everyone) + 1):
            for voters in combinations(everyone, size):
                left = set(old.items()) - set(voters)
                require(
                    len(left) < least or not rep.enough(voters),
                    'two quorums meet',
                    f'{node.name}: {voters} of {new} and {left} of {old}',
                )

    def _leases(self, nodes):
        ready = [n for n in nodes if n.replica.ready]
        for a in ready:
            if a.frozen or not a.replica.leased(a.clock()):
                continue
            for b in ready:
                require(
                    b.replica.term <= a.replica.term,
                    'no other leader while a lease stands',
                    f'{a.name} leads term {a.replica.term} by its lease, {b.name} is ready in {b.replica.term}',
                )
