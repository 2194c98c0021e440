"""The door's paths over the lean listener: what it takes of memory is its table of paths, not the library's HTTP."""

from asterwharf.clock.boot import boot_ms
from asterwharf.door.app import App

# of the time that leaving may take: how long operators still come
LINGER = 0.375


class Heads:
    """Headers by name in any case, as the paths ask for them."""

    __slots__ = ('rows',)

    def __init__(self, rows):
        self.rows = rows

    def get(self, name, dft=None):
        return self.rows.get(name.lower(), dft)


class Plain(App):
    """The own door of a node whose other listeners are lean."""

    max_head, idle_ms = 1 << 16, 60000

    def take(self, method, path, query, heads, body, give):
        super().take(method, path, query, Heads(heads), body, give)

    def idle(self):
        """While leaving: whether every operator has been seen to."""
        now = boot_ms()
        self.left = self.left or now
        if now - self.left < self.b.set.leave_ms * LINGER and (self.busy or self.door.callers):
            return False
        self.door.deafen()
        self.door.hush()
        return not self.busy
