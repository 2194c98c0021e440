"""Callers of ours go on to another door after a failure, a 5xx, a 408 or 429; other refusals they take as the answer."""

import http.server
import json
import random
import threading

import pytest

from asterwharf.fleet.callers import Callers
from asterwharf.sickle import ask

GO_ON = (408, 429, 500, 502, 503, 504)
CLEAR = (400, 401, 404, 409, 412, 413, 422)


class Door(http.server.BaseHTTPRequestHandler):
    """A door that gives the next answer of its script."""

    def do_PUT(self):
        self.server.seen.append(self.path)
        status = self.server.script.pop(0)
        raw = json.dumps({'name': 'ok' if status == 200 else f'status_{status}'}).encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(raw)))
        self.end_headers()
        self.wfile.write(raw)

    def log_message(self, *args):
        pass


@pytest.fixture
def doors():
    """`doors(script, ...)`: (addresses, servers), each door with its own list of answers."""
    up = []

    def make(*scripts):
        for script in scripts:
            server = http.server.HTTPServer(('127.0.0.1', 0), Door)
            server.script, server.seen = list(script), []
            threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()
            up.append(server)
        return [f'127.0.0.1:{server.server_address[1]}' for server in up], up

    yield make
    for server in up:
        server.shutdown()
        server.server_close()


@pytest.mark.parametrize('status', GO_ON)
def test_the_command_line_goes_on_to_the_next_door(doors, status):
    addresses, servers = doors([status], [200])
    assert ask.call(addresses, 'PUT', '/v1/config', {'a': 1}) == (200, {'name': 'ok'})
    assert [len(server.seen) for server in servers] == [1, 1]


@pytest.mark.parametrize('status', CLEAR)
def test_the_command_line_takes_a_clear_refusal_as_the_answer(doors, status):
    addresses, servers = doors([status], [200])
    with pytest.raises(ask.Refused) as told:
        ask.call(addresses, 'PUT', '/v1/config', {'a': 1})
    assert told.value.code == f'status_{status}' and not servers[1].seen


def test_the_command_line_says_the_last_answer_when_no_door_is_left(doors):
    addresses, _ = doors([503], [429])
    with pytest.raises(ask.Refused) as told:
        ask.call(addresses, 'PUT', '/v1/config', {'a': 1})
    assert told.value.code == 'status_429'


class Mix:
    """A site without traffic of its own."""

    def arrivals(self, rng, secs, scale):
        return []


class Scripted:
    """Stands in for the HTTP caller: answers each request with the next status of the script."""

    def __init__(self, script):
        self.script, self.sent = list(script), []

    def request(self, door, method, path, doc, then, ttl, heads=()):
        self.sent.append((method, path))
        then(self.script.pop(0), {'state': 'done'}, {})


@pytest.mark.parametrize('status', (0, *GO_ON))
@pytest.mark.parametrize('op', ['PUT', 'GET', 'DELETE'])
def test_the_fleets_callers_send_again_after_an_unclear_answer(status, op):
    calls = Callers(['127.0.0.1:1'], Mix(), 1)
    calls.todo.clear()
    calls.rng = random.Random(5)
    key, first = ('basin', 'j1'), {'PUT': calls._submit, 'GET': calls._ask, 'DELETE': calls._cancel}[op]
    calls.specs[key], calls.first[key] = {}, 0
    calls.asks = Scripted([status])
    first(key)
    assert calls.asks.sent == [(op, '/v1/tenants/basin/jobs/j1')]
    assert [(row[2].__name__, row[3]) for row in calls.todo] == [(first.__name__, (key,))]


@pytest.mark.parametrize('status', CLEAR)
def test_the_fleets_callers_send_a_refused_job_no_more(status):
    calls = Callers(['127.0.0.1:1'], Mix(), 1)
    calls.todo.clear()
    key = ('basin', 'j1')
    calls.specs[key], calls.first[key] = {}, 0
    calls.asks = Scripted([status])
    calls._submit(key)
    assert not calls.todo and key not in calls.kept
