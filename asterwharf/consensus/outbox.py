"""What waits for the disk: the batch of the next sync, and messages that may only be sent after it."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class WriteBatch:
    """What one sync puts on disk for one group.

    `meta` is the new meta record or None, `trim` the first index cut off the log, `drop` the last index dropped
    from its beginning, `wipe` whether log and rows are emptied first, `log` (index, record) pairs and `rows` the
    changed rows of the snapshot (None: removed). They are applied in the order wipe, trim, drop, log, rows, meta.
    """

    num: int
    meta: dict | None = None
    trim: int | None = None
    drop: int | None = None
    wipe: bool = False
    log: list = field(default_factory=list)
    rows: dict = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Message:
    """One message to another member of the group."""

    destination: str
    kind: str
    body: dict


@dataclass(slots=True)
class _SyncMark:
    """The last index of the log that is on disk once the batch `num` is."""

    num: int
    last: int


class Outbox:
    """Collects what must be synced, and holds back what may only be sent afterwards."""

    __slots__ = ('batch', 'done', 'marks', 'messages', 'num', 'safe', 'waiting')

    def __init__(self, safe):
        """`safe`: the last index of the log that is on disk already."""
        self.batch, self.num, self.done, self.safe = None, 0, 0, safe
        self.waiting, self.messages, self.marks = [], [], []

    @property
    def clean(self):
        """Whether everything written so far is synced."""
        return self.done >= self.num and self.batch is None

    def current(self):
        """The batch of the next sync."""
        if self.batch is None:
            self.batch = WriteBatch(self.num + 1)
        return self.batch

    def send(self, destination, kind, body):
        """Sends with the next output, whatever the disk does."""
        self.messages.append(Message(destination, kind, body))

    def send_after_sync(self, destination, kind, body):
        """Sends only once everything written so far is synced."""
        needed = self.batch.num if self.batch else self.num
        if needed <= self.done:
            return self.send(destination, kind, body)
        self.waiting.append((needed, Message(destination, kind, body)))

    def take_batch(self, last):
        """The batch to be written now, or None; `last` is the last index of the log."""
        batch, self.batch = self.batch, None
        if batch is None:
            return None
        self.num = batch.num
        self.marks.append(_SyncMark(batch.num, last))
        return batch

    def truncate(self, index):
        """The log was cut from `index` on: what is on disk from there on counts no more."""
        self.safe = min(self.safe, index - 1)
        for mark in self.marks:
            mark.last = min(mark.last, index - 1)

    def synced(self, num):
        """The disk has the batch `num` and all before it."""
        self.done = max(self.done, num)
        while self.marks and self.marks[0].num <= num:
            self.safe = max(self.safe, self.marks.pop(0).last)
        ready = [message for needed, message in self.waiting if needed <= num]
        self.waiting = [w for w in self.waiting if w[0] > num]
        self.messages += ready
