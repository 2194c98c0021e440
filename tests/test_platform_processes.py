"""A job through whole processes of the platform."""

from platform_rig import (
    BEAT,
    DOC,
    ID,
)
from platform_site import Site


def test_a_job_goes_its_whole_way_through_processes_and_they_leave_in_order(tmp_path):
    s = Site(tmp_path)
    try:
        host = {'Host': 'n.example'}
        put = lambda ip: s.ask(ip, s.control, 'POST', '/config/replace', DOC, X_Asterwharf_Based_On='0')[0]  # noqa: E731
        assert s.until(lambda: put(s.core[0]) == 200)
        # the same again, to any of them, is the same
        assert [put(ip) for ip in s.core] == [200, 200, 200]
        assert all(s.ask(ip, s.control, 'GET', '/config/read')[1] == DOC for ip in s.core)
        assert s.until(lambda: s.ask(s.edge, s.ready, 'GET', '/ready')[0] == 200)
        assert (
            s.ask(
                s.edge, s.front, 'POST', f'/lo/{ID}', {'job_spec': 'do', 'steps': [{'count': 2, 'cpu': 100}]}, **host
            )[0]
            == 200
        )
        assert (
            s.ask(s.edge, s.front, 'POST', f'/lo/{ID}', {'job_spec': 'other', 'steps': [{'count': 2}]}, **host)[0]
            == 409
        )
        assert s.ask(s.edge, s.front, 'GET', f'/lo/{ID}', **host)[1] == {'state': 'queued'}
        assert s.ask(s.edge, s.front, 'GET', '/lo/', **host)[1] == {'waiting': 1}
        doc, started = dict(BEAT, running=[], finished=[], call_count=0), []

        def beat():
            for ip in s.core:
                doc['call_count'] += 1
                sts, got, heads = s.ask(ip, s.control, 'POST', '/minions/i-1/heartbeat', doc)
                if sts == 307:
                    assert (
                        heads['Location'].endswith('/minions/i-1/heartbeat')
                        and heads['Location'].split('/')[2].split(':')[0] in s.core
                    )
                elif sts == 200:
                    started.extend(got.get('started', []))
            return len(started) >= 2

        assert s.until(beat)
        assert sorted(r[:3] for r in started[:2]) == [[f'{ID}.0.0.0', 1, 'do'], [f'{ID}.0.0.1', 1, 'do']]
        doc['finished'] = [[i + 1, r[0], r[1], 'done', ''] for i, r in enumerate(started[:2])]
        assert s.until(
            lambda: beat() and s.ask(s.edge, s.front, 'GET', f'/lo/{ID}', **host)[1] == {'state': 'finished'}
        )
        assert s.ask(s.core[1], s.control, 'POST', '/evacuate/hall/begin')[0] == 200
        assert s.ask(s.edge, s.front, 'GET', '/never/', **host)[0] == 404
    finally:
        ends = s.down()
    logs = {n: (tmp_path / f'{n}.log').read_text() for n in ends}
    assert set(ends.values()) == {0} and all(
        '"event": "left"' in t and 'inner_fault' not in t for t in logs.values()
    ), [x for t in logs.values() for x in t.splitlines() if 'error' in x]
