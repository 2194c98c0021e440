"""Pairs of plays: each variant plays the same site, day and seed as the reference, and the differences are judged."""

import shutil
import statistics
import subprocess
import time
from collections import deque
from dataclasses import asdict, dataclass
from pathlib import Path

from bench.trials.errors import TrialError
from bench.trials.report import Play, read_report
from bench.trials.variants import ROOT

# a mean difference decides where it is larger than so many standard errors, and than the noise of a day
ERRORS, NOISE = 2.0, 0.005
LOOK_S = 0.2


@dataclass(frozen=True)
class Case:
    """What is played: `site` a site file, `day` its name or a day file, `seed` 0 for the day's own."""

    site: str
    day: str
    seed: int


@dataclass(frozen=True)
class Outcome:
    """One play of one variant."""

    variant: str
    case: Case
    play: Play


@dataclass(frozen=True)
class Difference:
    """A variant against the reference over `count` pairs: mean and standard deviation of the difference in worth."""

    count: int
    mean: float
    spread: float

    @property
    def decides(self):
        """Whether the pairs show a difference that is more than noise."""
        if self.count < 2:
            return False
        error = self.spread / self.count**0.5
        return abs(self.mean) > max(NOISE, ERRORS * error)


def difference(reference, others):
    """The Difference of `others` against `reference`, both {case: Play}, over the cases that both have."""
    gains = [others[case].worth - reference[case].worth for case in reference if case in others]
    if not gains:
        raise TrialError('bad_report', 'no pair of plays')
    return Difference(len(gains), statistics.mean(gains), statistics.stdev(gains) if len(gains) > 1 else 0.0)


class Runner:
    """Plays cases on the bench, a few at a time; journal entries are kept with the project's own."""

    def __init__(self, bench, folders, reports, workers, why, counted=False, small=False):
        """`folders`: variant -> its sources; `counted`: processor time is counted; `small`: the small twins of days."""
        self.bench, self.folders, self.reports, self.workers, self.why = bench, folders, Path(reports), workers, why
        self.flags = ([] if counted else ['--no-cpu']) + (['--small'] if small else [])

    def play(self, jobs, said=print, resume=False):
        """Plays [(variant, case)]; returns the outcomes. A play that fails is told and gives no figure.

        `resume`: what has a report already is not played again; the reports must be of the very same sources.
        """
        self.reports.mkdir(parents=True, exist_ok=True)
        done = self._played(jobs) if resume else []
        known = {(outcome.variant, outcome.case) for outcome in done}
        waiting, running = deque(job for job in jobs if job not in known), []
        while waiting or running:
            while waiting and len(running) < self.workers:
                running.append(self._start(*waiting.popleft()))
            time.sleep(LOOK_S)
            for job in [job for job in running if job[0].poll() is not None]:
                running.remove(job)
                outcome = self._finish(*job, said)
                done += [outcome] if outcome else []
        self._keep_journal()
        return done

    def _report(self, variant, case):
        return self.reports / f'{variant}-{Path(case.site).stem}-{Path(case.day).stem}-{case.seed}.json'

    def _played(self, jobs):
        out = []
        for variant, case in jobs:
            try:
                out.append(Outcome(variant, case, read_report(self._report(variant, case))))
            except TrialError:
                continue
        return out

    def _start(self, variant, case):
        report = self._report(variant, case)
        report.unlink(missing_ok=True)
        words = [self.bench, 'run', case.site, case.day, '--jobs', '1', '--report', str(report), '--why']
        words += [f'trial {variant}: {self.why}', *self.flags] + (['--seed', str(case.seed)] if case.seed else [])
        log = report.with_suffix('.txt').open('w')
        process = subprocess.Popen(words, cwd=self.folders[variant], stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        return process, variant, case, report

    def _finish(self, process, variant, case, report, said):
        try:
            play = read_report(report)
        except TrialError as error:
            said(f'{variant} {case.day} {case.seed}: no figure: {error}')
            return None
        broken = f' BROKEN {" ".join(play.broken)}' if play.broken else ''
        said(f'{variant} {Path(case.site).stem} {case.day} {case.seed}: worth {play.worth:.3f}{broken}')
        return Outcome(variant, case, play)

    def _keep_journal(self):
        for folder in self.folders.values():
            for entry in (Path(folder) / 'journal').rglob('*'):
                own = ROOT / 'journal' / entry.relative_to(Path(folder) / 'journal')
                if entry.is_file() and not own.exists():
                    own.parent.mkdir(parents=True, exist_ok=True)
                    shutil.copy2(entry, own)


def by_variant(outcomes):
    """{variant: {case: Play}}."""
    out = {}
    for outcome in outcomes:
        out.setdefault(outcome.variant, {})[outcome.case] = outcome.play
    return out


def document(outcomes):
    """The outcomes as plain data, for a file."""
    return [{'variant': o.variant, **asdict(o.case), **asdict(o.play)} for o in outcomes]
