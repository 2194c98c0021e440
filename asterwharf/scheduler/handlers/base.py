"""What all handlers of requests share: the answer, the confirmation by a majority, the order of a change. Pure."""

from asterwharf.base.board import Controller

NOBODY = {'retry_ms': 1000}


class Response:
    """Answers one request: called with a code and a body, once."""

    __slots__ = ('_board', '_deadline', '_group', '_id', '_to')

    def __init__(self, board, to, request):
        self._board, self._to, self._id, self._group = board, to, request['id'], request['grp']
        self._deadline = request.get('deadline', 0)

    @property
    def late(self):
        """Whether its caller has given up: carried out now, it might undo what came since."""
        return 0 < self._deadline < self._board.now

    @property
    def clock(self):
        """What the asking node needs to tell the deadline better."""
        return {'clock': self._board.now}

    def __call__(self, code, body=None):
        hint = self._board.holders.get(self._group, ('', 0))[0] if code == 'no_holder' else ''
        self._board.send(self._to, 'response', id=self._id, code=code, body=body, hint=hint)


class RequestHandler(Controller):
    """Looks a request up, judges it, orders the change, answers when it is committed."""

    __slots__ = ('core',)
    hears = ('request',)

    def __init__(self, b, core=None):
        super().__init__(b)
        self.core = core

    def member(self, grp):
        if grp == 'core':
            return self.core
        part = self.b.cells.get(grp)
        return part.member if part else None

    def on_request(self, src, d):
        member, give = self.member(d['grp']), Response(self.b, src, d)
        fn = getattr(self, 'do_' + d['op'], None)
        if fn is None:
            return give('no_path', {'details': [f'{d["grp"]}.{d["op"]}']})
        if member is None or not member.leads:
            return give('no_holder', NOBODY)
        if give.late:
            return give('late', give.clock)
        self.b.count[f'request.{d["op"]}'] += 1
        fn(d['args'] or {}, give, member)

    def _theirs(self, cell, ten, give):
        """Another cell answers for this tenant, or soon will."""
        if cell.mac.ours(ten, cell.grp):
            return False
        give('moving', NOBODY)
        return True

    def _sure(self, member, give, fn):
        """Runs `fn` once a majority confirms that this node still holds the group."""
        if not member.confirm(lambda r: fn() if r is not None else give('no_holder', NOBODY)):
            give('no_holder', NOBODY)

    def _order(self, member, knd, doc, give, then):
        def got(r):
            if r is None:
                # neither taken nor not taken: the caller sends it again
                return give('unsure', NOBODY)
            then(r[1])

        # time may have passed in a check or a confirmation
        if give.late:
            return give('late', give.clock)
        if not member.order(knd, doc, got):
            give('no_holder', NOBODY)
