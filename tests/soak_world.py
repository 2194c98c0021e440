"""The world of a soak: minions that call in over real sockets and run tasks that only pass time, and what is true of every run."""

import http.client
import json
import random
import threading
import time

# seconds: an answer that comes later is dropped; between an end and the next beat; after a call that failed
ANSWER_S, AFTER_END_S, AFTER_FAILURE_S = 1.0, 0.05, 0.1
GANG_WAIT_S = 3.0
# between two looks at what has ended
LOOK_S = 0.05
# of the beats, how many come late though nothing is wrong, and seconds by how much
LATE_BEATS, LATE_S = 0.003, (0.5, 3.0)


def request(address, method, path, document=None, timeout=ANSWER_S, **headers):
    """(status, body, headers) of one call; status 0 where no answer came in time."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        body = None if document is None else json.dumps(document)
        connection.request(method, path, body, {name.replace('_', '-'): value for name, value in headers.items()})
        response = connection.getresponse()
        return response.status, json.loads(response.read() or b'null'), response.headers
    except (OSError, http.client.HTTPException, ValueError):
        return 0, None, {}
    finally:
        connection.close()


class Run:
    """One run of a task on a minion."""

    def __init__(self, task, number, payload, now):
        self.task, self.number, self.since = task, number, now
        self.work_s, self.members, self.need = payload['ms'] / 1000, payload['members'], payload['need']
        self.works_since = 0.0 if self.members > 1 else now
        self.stopping = False


class Truth:
    """What really runs, on all minions: the judge of the soak. One lock for all."""

    def __init__(self):
        self.lock, self.broken = threading.RLock(), []
        # task -> minions where it runs; tasks that ended done and were noted; (job, step, run) -> members that are there
        self.running, self.noted, self.gangs = {}, set(), {}
        self.counts = dict.fromkeys(('started', 'done', 'stopped', 'lapsed', 'refused', 'alone', 'crashed'), 0)

    def broke(self, rule, **fields):
        self.broken.append({'rule': rule, **fields})

    def begin(self, minion, run):
        with self.lock:
            self.counts['started'] += 1
            now = time.monotonic()
            others = [
                other for other in self.running.get(run.task, ()) if other is not minion and now < other.hold_until
            ]
            if others:
                self.broke('TWICE', task=run.task, run=run.number, on=[minion.name, *(o.name for o in others)])
            if run.task in self.noted:
                self.broke('TWICE', task=run.task, run=run.number, why='its end was noted')
            self.running.setdefault(run.task, set()).add(minion)
            if run.members > 1:
                gang = self.gangs.setdefault(self._gang(run), set())
                gang.add(run)
                if len(gang) == run.members:
                    for member in gang:
                        member.works_since = time.monotonic()

    @staticmethod
    def _gang(run):
        return run.task.rpartition('.')[0], run.number

    def end(self, minion, run, how):
        with self.lock:
            self.counts[how] += 1
            self.running.get(run.task, set()).discard(minion)
            self.gangs.get(self._gang(run), set()).discard(run)

    def note(self, task):
        with self.lock:
            self.noted.add(task)


class Minion(threading.Thread):
    """A minion of the platform: beats, holds, fence, ends until they are noted; it turns away what does not fit."""

    def __init__(self, world, index, capacity=(16000, 64000, 8)):
        super().__init__(daemon=True)
        self.world, self.index, self.capacity = world, index, capacity
        self.random = random.Random(f'{world.seed} minion {index}')
        self.life, self.over = 0, False
        # troubles: until when it hears nothing, and loses the answers to its calls
        self.mute_until = self.deaf_until = 0.0
        self._born()

    def _born(self):
        self.life += 1
        self.name = f'i-{self.index}-{self.life}'
        self.runs, self.ended, self.top, self.calls = {}, {}, {}, 0
        self.number, self.fence, self.hold_until, self.address = 0, 0, 0.0, ''
        self.barred = {}

    def crash(self):
        """All that it runs dies; it comes back under another name and knows nothing."""
        with self.world.truth.lock:
            for run in list(self.runs.values()):
                self.world.truth.end(self, run, 'crashed')
            self._born()

    # --- one turn
    def run(self):
        pause = 0.0
        while not self.over:
            self._rest(pause)
            with self.world.truth.lock:
                self._pass()
                life, document = self.life, self._account()
            if time.monotonic() < self.mute_until:
                pause = 0.1
                continue
            address = self.address or self.random.choice(self.world.control)
            sent = time.monotonic()
            status, answer, headers = request(address, 'POST', f'/minions/{self.name}/heartbeat', document)
            pause = self._heard(life, sent, status, answer, headers) + self._lateness()

    def _lateness(self):
        """By how much the next beat comes late, seconds; mostly 0."""
        return self.random.uniform(*LATE_S) if self.random.random() < LATE_BEATS else 0.0

    def _rest(self, pause):
        """Waits for the next beat: as long as asked, or until shortly after a run has ended."""
        until = time.monotonic() + pause
        while not self.over and (now := time.monotonic()) < until:
            time.sleep(min(LOOK_S, until - now))
            with self.world.truth.lock:
                ends = self.number
                self._pass()
                ended = self.number > ends
            if ended:
                until = min(until, time.monotonic() + AFTER_END_S)

    def _heard(self, life, sent, status, answer, headers):
        """Takes an answer in; seconds until the next beat."""
        if status == 307:
            self.address = headers['Location'].split('/')[2]
            return 0.0
        if status != 200:
            self.address = ''
            return AFTER_FAILURE_S
        now = time.monotonic()
        with self.world.truth.lock:
            if life != self.life or now - sent > ANSWER_S or now < self.deaf_until:
                return AFTER_FAILURE_S
            self.address = answer.get('beat_address', self.address)
            if answer.get('fence_number', 0) >= self.fence:
                self._take(answer, sent, now)
            return min(answer.get('retry_after_ms', 1500) / 1000, 1.5)

    def _take(self, answer, sent, now):
        self.fence = answer.get('fence_number', 0)
        for number in [number for number in self.ended if number <= answer.get('last_seen', 0)]:
            _, task, _, how, _ = self.ended.pop(number)
            if how == 'done':
                self.world.truth.note(task)
        if 'hold_ms' in answer:
            self.hold_until = max(self.hold_until, sent + min(answer['hold_ms'], self.world.max_hold_ms) / 1000)
        for task, number in answer.get('stopped', ()):
            self.barred[task] = max(self.barred.get(task, 0), number)
            run = self.runs.get(task)
            if run is not None and run.number == number and not run.stopping:
                run.stopping, run.work_s = True, now - run.since + self.random.uniform(0.0, 0.4)
                run.works_since = run.since
        for task, number, spec, _ in answer.get('started', ()):
            self._start(task, number, json.loads(spec), now)

    def _start(self, task, number, payload, now):
        if task in self.runs or number <= max(self.barred.get(task, 0), self.top.get(task, 0)):
            return
        self.top[task] = number
        run = Run(task, number, payload, now)
        used = [sum(other.need[i] for other in self.runs.values()) for i in range(3)]
        if any(taken + need > size for taken, need, size in zip(used, run.need, self.capacity, strict=True)):
            self.world.truth.counts['refused'] += 1
            return self._list(run, 'refused')
        self.runs[task] = run
        return self.world.truth.begin(self, run)

    def _list(self, run, how):
        self.number += 1
        self.ended[self.number] = [self.number, run.task, run.number, how, '']

    def _pass(self):
        """Time passes: runs end, holds run out."""
        now = time.monotonic()
        lapsed = bool(self.runs) and now > self.hold_until
        for task, run in list(self.runs.items()):
            ends_at = run.works_since + run.work_s if run.works_since else float('inf')
            if ends_at <= min(now, self.hold_until):
                how = 'stopped' if run.stopping else 'done'
            elif lapsed:
                how = 'lapsed'
            elif not run.works_since and now - run.since > GANG_WAIT_S:
                how = 'alone'
            else:
                continue
            del self.runs[task]
            self.world.truth.end(self, run, how)
            self._list(run, how)

    def _account(self):
        self.calls += 1
        now = time.monotonic()
        running = [
            [
                run.task,
                run.number,
                '',
                min(99, int(100 * (now - run.works_since) / run.work_s)) if run.works_since else 0,
            ]
            for run in self.runs.values()
        ]
        cpu, memory, gpus = self.capacity
        return {
            'service_name': 'hu',
            'address': f'10.9.0.{self.index}:80',
            'zone': f'hall-{self.index % 3}',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'capacity': {'cpu': cpu, 'mem_mb': memory, 'gpus': gpus},
            'labels': ['a', f'r{self.index // 3}'],
            'clock_ms': int(now * 1000),
            'call_count': self.calls,
            'running': running,
            'finished': list(self.ended.values())[:500],
        }
