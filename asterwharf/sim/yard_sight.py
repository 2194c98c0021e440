"""Which machines are in touch, as the users' RULES.md has it: looked at from outside, never asked of the system.

A machine is in touch if for `in_touch_ms` nothing was done to it, the core was settled, and it had a path both
ways to every running core machine that itself reaches more than half of the core.
"""

IN, OUTER, OUT = 'in', 'outer', ''
# how often it looks, ms
STEP = 100


class Sight:
    """Keeps, for each machine, when something last happened to it and since when its paths have stood."""

    __slots__ = ('bounds', 'core', 'core_hit', 'half', 'hit', 'ill', 'marks', 'paths', 'w', 'wide')

    def __init__(self, w, bounds):
        self.w, self.bounds, self.core = w, bounds, []
        # when something last happened to a machine, to the core; machines in a lasting trouble
        self.hit, self.core_hit, self.ill, self.paths = {}, 0, {}, {}
        # since when more than half of the core has run connected and not slowed
        self.half, self.wide = 0, 1
        # (kind, begin, end, end of its traces): every trouble of the day, for the rules that speak of "no trouble near"
        self.marks = []

    # --- what is done to the world
    def event(self, name):
        """Something was done to a machine at this moment."""
        self.hit[name] = self.w.t
        if name in self.core:
            self.core_hit = self.w.t

    def begin(self, name):
        """A trouble that lasts: a slow disk, a slowed link."""
        self.ill[name] = self.ill.get(name, 0) + 1
        self.event(name)

    def end(self, name):
        self.ill[name] = max(0, self.ill.get(name, 0) - 1)
        self.event(name)

    def mark(self, kind, beg, end, traces=None):
        """A trouble of a kind, ms of true time; `traces`: until when what it did may still be seen."""
        self.marks.append((kind, beg, end, end if traces is None else traces))

    def calm(self, since, *but):
        """Whether no trouble but these kinds was on, or to be seen by its traces, between then and now."""
        now = self.w.t
        return not any(k not in but and b <= now and e >= since for k, b, _, e in self.marks)

    def undisturbed(self, since, *but):
        """Whether no trouble but these kinds was itself on between then and now, whatever traces it left."""
        now = self.w.t
        return not any(k not in but and b <= now and e >= since for k, b, e, _ in self.marks)

    # --- looking
    def on(self, n):
        h = self.w.hosts[n]
        return h.alive and not h.frozen

    def sees(self, a, b):
        c = self.w.cuts
        return a == b or ((a, b) not in c and (b, a) not in c)

    def good(self):
        """Running core machines that reach more than half of the core."""
        on = [n for n in self.core if self.on(n)]
        return [n for n in on if 2 * sum(self.sees(n, o) for o in on) > len(self.core)]

    def look(self, names):
        now, good = self.w.t, self.good()
        whole = 2 * len(good) > len(self.core)
        if not whole or any(self.ill.get(n) for n in self.core):
            self.core_hit = now
        if not whole or 2 * sum(not self.ill.get(n) for n in good) <= len(self.core):
            self.half = now
        for n in names:
            ok = bool(good) and self.on(n) and not self.ill.get(n) and all(self.sees(n, c) for c in good)
            if not ok:
                self.paths[n] = now

    def level(self, n):
        """IN touch, OUTER (well itself, the core not settled but more than half of it there), or OUT."""
        now, ms = self.w.t, self.bounds.in_touch_ms
        if n not in self.w.hosts or not self.on(n) or now - max(self.hit.get(n, 0), self.paths.get(n, 0)) < ms:
            return OUT
        if now - self.core_hit >= ms * self.wide:
            return IN
        return OUTER if now - self.half >= ms else OUT

    def settled(self):
        return self.w.t - self.core_hit >= self.bounds.in_touch_ms * self.wide
