"""A stand-in for a minion: starts and stops pretended work, tells what has ended, and misbehaves when asked to.

Every real start and end goes to a journal, which the observer of a live fleet reads.
"""

import json
import os
import secrets
import sys
from collections import Counter

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll
from cyclopts import App as Cmd

from asterwharf.base.settings import address
from asterwharf.clock.boot import boot_ms, wall_ms
from asterwharf.door.http import Door

KEEP = 5000


class Minion(BaseComponent):
    """Answers the dialect of docs/minion.md."""

    channel = 'minion'
    max_body, stall_ms = 1 << 20, 30000
    leaving = False

    def init(self, bind, journal, size):
        self.count, self.boot, self.size = Counter(), secrets.token_hex(4), size
        self.work, self.over, self.ends, self.polls, self.n, self.held = {}, {}, [], [], 0, {}
        self.faults, self.drains, self.due = {}, False, 0
        self.out = open(journal, 'a', buffering=1)
        EPoll().register(self)
        Door(address(bind), self).register(self)
        self.note('boot', '', 0)

    def note(self, what, task, rnd):
        row = {'at': wall_ms(), 'what': what, 'task': task, 'round': rnd}
        self.out.write(json.dumps(row) + '\n')

    # --- what the protocol wants of an app
    def trouble(self, code, *more):
        return 400, json.dumps({'state': 'refused', 'why': code}).encode(), {}

    def take(self, method, path, query, heads, body, give):
        def ans(sts, doc):
            give(sts, json.dumps(doc).encode(), {})

        if self.faults.get('hang'):
            return
        if (method, path) == ('GET', '/endings'):
            q = dict(p.split('=') for p in query.split('&') if '=' in p)
            # one that does not know this life of ours is told everything at once
            aft = int(q.get('after', 0)) if q.get('boot') == self.boot else -1
            self.polls.append((ans, aft, boot_ms() + int(q.get('wait', 0))))
            return self._serve(boot_ms())
        try:
            doc = json.loads(body or b'{}')
            fn = {
                '/start': self._start,
                '/hold': self._hold,
                '/stop': self._stop,
                '/faults': self._faults,
                '/drain': self._drain,
            }[path]
        except (ValueError, KeyError):
            return ans(400, {'state': 'refused', 'why': 'not understood'})
        ans(*fn(doc))

    def _faults(self, doc):
        self.faults = doc
        return 200, doc

    def _drain(self, doc):
        self.drains = bool(doc['on'])
        self.note('drain' if self.drains else 'undrain', '', 0)
        self._wake()
        return 200, {'draining': self.drains}

    def _start(self, doc):
        key = doc['task'], doc['round']
        old = self.held.get(doc['task']) or self.work.get(doc['task'])
        if old and old[0] == doc['round']:
            return 200, {'state': 'started', 'boot': self.boot}
        if key in self.over:
            ok, why = self.over[key]
            return 200, {'state': 'ended', 'ok': ok, 'why': why}
        r = doc.get('run') or {}
        ms = int(r.get('ms', 200) * self.faults.get('slow', 1))
        ok = doc['round'] > r.get('fail', 0)
        if self.faults.get('quiet'):
            ms, ok = 5, False
        self.work[doc['task']] = (doc['round'], boot_ms() + ms, ok)
        self.note('start', *key)
        return 200, {'state': 'started', 'boot': self.boot}

    def _hold(self, doc):
        key = doc['task'], doc['round']
        cur = self.held.get(doc['task']) or self.work.get(doc['task'])
        if cur is None or cur[0] != doc['round']:
            ok, why = self.over.get(key, (False, 'stopped'))
            return 200, {'state': 'stopped'} if why == 'stopped' else {'state': 'ended', 'ok': ok, 'why': why}
        here = doc['task'] in self.held
        if doc['on'] and not here:
            del self.work[doc['task']]
            self.held[doc['task']] = (cur[0], max(1, cur[1] - boot_ms()), cur[2])
            self.note('held', *key)
        elif here and not doc['on']:
            del self.held[doc['task']]
            self.work[doc['task']] = (cur[0], boot_ms() + cur[1], cur[2])
            self.note('resumed', *key)
            self.due = 0
        return 200, {'state': 'held' if doc['on'] else 'resumed'}

    def _stop(self, doc):
        key = doc['task'], doc['round']
        cur = self.held.pop(doc['task'], None) or self.work.get(doc['task'])
        if cur and cur[0] == doc['round']:
            self.work.pop(doc['task'], None)
            self._over(key, False, 'stopped')
            self.note('stopped', *key)
            return 200, {'state': 'stopped'}
        got = self.over.get(key)
        if got and got[1] != 'stopped':
            return 200, {'state': 'ended', 'ok': got[0], 'why': got[1]}
        # a start of this round that is still on its way must find it stopped
        self._over(key, False, 'stopped')
        return 200, {'state': 'stopped'}

    def _over(self, key, ok, why):
        self.over[key] = (ok, why)
        while len(self.over) > KEEP:
            del self.over[next(iter(self.over))]

    def _wake(self):
        self.polls = [(a, -1, e) for a, _, e in self.polls]
        self._serve(boot_ms())

    def _serve(self, now):
        left = []
        for ans, aft, end in self.polls:
            new = [i for i in self.ends if i['n'] > aft]
            if (new or aft < 0 or now >= end) and not self.faults.get('hang'):
                ans(200, {'boot': self.boot, 'draining': self.drains, 'holds': True, 'endings': new})
            else:
                left.append((ans, aft, end))
        self.polls = left

    @handler('generate_events', channel='*')
    def _tick(self, event):
        now = boot_ms()
        if now >= self.due:
            for k, (r, end, ok) in list(self.work.items()):
                if now >= end:
                    del self.work[k]
                    self.n += 1
                    why = '' if ok else 'exit 1'
                    self._over((k, r), ok, why)
                    self.ends = self.ends[-KEEP:] + [
                        {'n': self.n, 'task': k, 'round': r, 'ok': ok, 'why': why, 'at': wall_ms()}
                    ]
                    self.note('done' if ok else 'failed', k, r)
            self._serve(now)
            nxt = min([e for _, e, _ in self.work.values()] + [e for _, _, e in self.polls] + [now + 500])
            self.due = max(now + 5, nxt)
        event.reduce_time_left(max(0.0, (self.due - boot_ms()) / 1000))


cmd = Cmd(name='minion', help='A stand-in minion.', help_format='plaintext')


@cmd.default
def main(*, bind: str, journal: str, cores: float = 16, gpus: int = 0, mem: int = 1 << 34):
    if os.path.dirname(journal):
        os.makedirs(os.path.dirname(journal), exist_ok=True)
    Minion(bind, journal, (cores, gpus, mem)).run()


if __name__ == '__main__':
    sys.exit(cmd())
