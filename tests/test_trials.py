"""Trials on the bench: variants, reports, pairs and tables; a wrong setting or a report cut short gives a number and no figure."""

import json
import os
import re
import subprocess
import sys

import pytest
from platform_rig import CORE, ROOT, written

from asterwharf.base import settings
from asterwharf.base.mechanisms import Mechanism, unknown
from bench.trials import late_jobs
from bench.trials.errors import TrialError
from bench.trials.pairs import Case, Difference, Runner, difference
from bench.trials.report import Play, read_report
from bench.trials.table import table
from bench.trials.variants import Variant, switch_off

REPORT = {
    'G': 0.8,
    'fault': None,
    'short': [],
    'breaks': {},
    'parts': [['whole day', 0.35, 0.97], ['worst windows', 0.5, 0.8]],
    'prices': [['machine-seconds', 10.0, 0.02], ['core-seconds of work thrown away', 123.5, 0.01]],
    'classes': [{'name': 'gauge', 'n': 5, 'worth': 0.9}, {'name': 'none', 'n': 0, 'worth': 0.0}],
    'hints': ['5 jobs (5 accepted), 9 tasks; 12 runs: 9 done, 1 failed, 2 stopped, 0 lapsed', 'other'],
}
DEPLOYED = (ROOT / 'deploy/system.toml').read_text()


def test_every_mechanism_is_asked_for_by_the_minion_pool():
    text = ''.join(path.read_text() for path in (ROOT / 'asterwharf/orchard').glob('*.py'))
    assert not [one.name for one in Mechanism if f'Mechanism.{one.name}' not in text]


def test_a_mechanism_that_does_not_exist_is_a_mistake_of_the_settings(tmp_path):
    assert unknown(['pace', 'luck']) == ['luck']
    document = {'name': 'n', 'bind': '10.0.0.1:1', 'seeds': ['10.0.0.1:1'], 'call': {'without': ['luck']}}
    assert settings.check(document).error == ["call.without: 'luck' is no mechanism"]
    env = dict(os.environ, ASTERWHARF_CONFIG=written(tmp_path, CORE))
    for words in (['--without', 'pace,luck'], ['--with', 'pace'], ['--without']):
        got = subprocess.run(
            [sys.executable, 'platform/start.py', 'controller', *words],
            cwd=ROOT,
            env=env,
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert got.returncode == 2 and '213 bad_settings' in got.stderr, got.stderr


def test_the_deploy_file_switches_nothing_off():
    assert '--without' not in DEPLOYED


def test_a_variant_switches_mechanisms_off_in_the_core_only(tmp_path):
    path = tmp_path / 'system.toml'
    path.write_text(DEPLOYED)
    switch_off(path, ('pace', 'copies'))
    assert re.findall(r'^run = "(.*)"$', path.read_text(), re.MULTILINE) == [
        'python3 platform/start.py trellis --without pace,copies',
        'python3 platform/start.py furrow',
    ]
    with pytest.raises(TrialError, match='215'):
        switch_off(path, ('pace',))


def test_variants_are_read_strictly():
    assert Variant.parse('new=HEAD~2/pace,copies') == Variant('new', 'HEAD~2', ('pace', 'copies'))
    assert Variant.parse('tree=.') == Variant('tree', '.')
    for text in ('HEAD', 'a=', 'a=HEAD/luck', '=HEAD', 'a=HEAD/pace,'):
        with pytest.raises(TrialError, match='215'):
            Variant.parse(text)


def test_a_report_becomes_a_play(tmp_path):
    path = tmp_path / 'report.json'
    path.write_text(json.dumps(REPORT))
    play = read_report(path)
    assert (play.worth, play.waste, play.runs, play.stopped) == (0.8, 123.5, 12, 2)
    assert play.parts['worst windows'] == 0.8 and play.classes == {'gauge': 0.9} and not play.broken
    path.write_text(json.dumps(dict(REPORT, breaks={'TWICE': 1}, fault='ended')))
    assert read_report(path).broken == ('TWICE', 'ended')


@pytest.mark.parametrize('missing', ['G', 'prices', 'hints', 'classes', 'breaks', 'parts'])
def test_a_report_that_lacks_something_gives_no_figure(tmp_path, missing):
    path = tmp_path / 'report.json'
    path.write_text(json.dumps({key: value for key, value in REPORT.items() if key != missing}))
    with pytest.raises(TrialError, match='216'):
        read_report(path)


def test_a_report_that_is_cut_short_or_missing_gives_no_figure(tmp_path):
    path = tmp_path / 'report.json'
    for text in (json.dumps(REPORT)[:-20], '', '[]', 'null', json.dumps(dict(REPORT, hints=['nothing']))):
        path.write_text(text)
        with pytest.raises(TrialError, match='216'):
            read_report(path)
    with pytest.raises(TrialError, match='216'):
        read_report(tmp_path / 'none.json')


def cases(*worths):
    return {Case('site.toml', 'day', number): Play(worth) for number, worth in enumerate(worths)}


def test_differences_are_judged_by_their_spread():
    assert difference(cases(0.5, 0.6), cases(0.6, 0.7)).decides
    assert not difference(cases(0.5, 0.6, 0.5), cases(0.6, 0.5, 0.5)).decides
    assert not difference(cases(0.5), cases(0.9)).decides
    assert not Difference(5, 0.004, 0.0).decides
    # only what both have played is compared
    assert difference(cases(0.5, 0.6, 0.7), cases(0.6, 0.7)).count == 2
    with pytest.raises(TrialError, match='216'):
        difference(cases(0.5), {})


def test_the_table_has_a_row_for_each_variant_with_the_reference_first():
    rows = table({'a-new': cases(0.6, 0.7), 'whole': cases(0.5, 0.6)}, 'whole').splitlines()
    assert [row.split(' | ')[1] for row in rows[2:]] == ['whole', 'a-new']
    assert '+0.100 (0.000) | yes' in rows[3] and '+' not in rows[2]


PROGRAM = """#!/bin/sh
while [ $# -gt 0 ]; do
  case "$1" in --report) out="$2"; shift;; --seed) seed="$2"; shift;; esac; shift
done
mkdir -p journal; echo "{}" > "journal/$$.json"
if [ "$seed" = 2 ]; then echo cut > "$out"; else cp report.json "$out"; fi
"""


def test_plays_are_run_a_few_at_a_time_and_their_journal_entries_kept(tmp_path, monkeypatch):
    program, sources, kept = tmp_path / 'bench.sh', tmp_path / 'sources', tmp_path / 'kept'
    program.write_text(PROGRAM)
    program.chmod(0o755)
    sources.mkdir()
    (sources / 'report.json').write_text(json.dumps(REPORT))
    monkeypatch.setattr('bench.trials.pairs.ROOT', kept)
    said = []
    runner = Runner(str(program), {'new': sources}, tmp_path / 'reports', 2, 'a test')
    jobs = [('new', Case('site.toml', 'day', seed)) for seed in (1, 2, 3)]
    outcomes = runner.play(jobs, said.append)
    assert sorted(outcome.case.seed for outcome in outcomes) == [1, 3]
    assert any('216' in line for line in said) and len(list((kept / 'journal').iterdir())) == 3
    # only what has no report yet is played when the comparison goes on
    again = runner.play(jobs, said.append, resume=True)
    assert len(again) == 2 and len(list((kept / 'journal').iterdir())) == 4


LINE = '  12.5 core-1 {"event": "job late", "queue": "q", "phases": {"work": 900, "wait.no_room": 300, "lost.lapsed": 5000}}'


def test_late_jobs_are_read_from_a_plays_log(tmp_path):
    path = tmp_path / 'log.txt'
    path.write_text(f'built\n{LINE}\n{LINE}\n')
    found = late_jobs.read_log(path)
    assert found['q'].jobs == 2 and found['q'].foremost == {'lost.lapsed': 2} and found['q'].seconds == [12.5, 12.5]
    assert '| q | 2 | lost.lapsed | 10.0 | 0.94 | 2 |' in late_jobs.table(found)
    path.write_text(LINE[:-15])
    with pytest.raises(TrialError, match='216'):
        late_jobs.read_log(path)
    with pytest.raises(TrialError, match='216'):
        late_jobs.read_log(tmp_path / 'none.txt')
