"""The history of the own interface's configuration, as operators saw it, for the history checker."""

from asterwharf.sim.history_checker import History, Outcome, Result, check, content_digest


class RegisterHistory:
    """Orders and reads of the configuration by what was asked and told; a configuration's number is its base's next."""

    __slots__ = ('_waiting', 'history')

    def __init__(self):
        self.history, self._waiting = History(), {}

    def asked(self, at, document, base, client=''):
        """An operator sends an order at `at` (ms)."""
        digest = content_digest(document)
        # the own interface names the operator: the same content by another one is a rival
        call = self.history.invoke('replace', at, base, base + 1, digest, f'{client}:{digest}', client=client)
        self._waiting.setdefault((base, digest, client), []).append(call)

    def _answer(self, at, document, base, client, result):
        waiting = self._waiting.get((base, content_digest(document), client))
        if waiting:
            # which of equal orders is told so makes no difference: they are one order
            self.history.returned(waiting.pop(0), result, at)

    def acknowledged(self, at, document, base, client=''):
        """An order was acknowledged."""
        self._answer(at, document, base, client, Result.OK)

    def refused(self, at, document, base, client=''):
        """An order was refused, for it builds on another version."""
        self._answer(at, document, base, client, Result.STALE)

    def read(self, since, at, number, document):
        """A read that was asked for at `since` was answered at `at`."""
        call = self.history.invoke('read', since)
        self.history.returned(call, Result.OK, at, number, content_digest(document) if number else '')

    def complaint(self):
        """What is wrong with the history; empty where it is linearizable."""
        verdict = check(self.history.operations)
        if verdict.ok:
            return ''
        return verdict.reason if verdict.outcome is Outcome.VIOLATED else f'undecided: {verdict.reason}'
