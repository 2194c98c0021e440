"""The fitness of minions, judged by what is seen of their work and not by what they claim. Pure."""

STREAK = 3


class Fitness:
    """A minion on which several tasks in a row came to nothing is suspect: one probe at a time."""

    __slots__ = ('bad', 'said')

    def __init__(self):
        self.bad, self.said = {}, set()

    def learn(self, seen):
        """Takes outcomes off the queue: (minion, task, whether it went well)."""
        while seen:
            m, key, ok = seen.popleft()
            if ok:
                self.bad.pop(m, None)
            else:
                self.bad.setdefault(m, set()).add(key)

    def suspects(self, all_):
        """Names of suspect minions, unless so many are that the work itself must be at fault."""
        got = {m for m, ks in self.bad.items() if len(ks) >= STREAK and m in all_}
        return got if len(got) * 2 <= len(all_) else set()

    def news(self, got):
        """(those newly suspect, those cleared) since the last call."""
        new, old = sorted(got - self.said), sorted(self.said - got)
        self.said = got
        return new, old
