"""Variants of the sources that trials compare: a commit or the working tree, with mechanisms switched off."""

import re
import shutil
import subprocess
import sys
import tomllib
from dataclasses import dataclass
from pathlib import Path

from bench.trials.errors import TrialError

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from asterwharf.base.mechanisms import unknown  # noqa: E402

WORKING_TREE = '.'
DEPLOY = 'deploy/system.toml'


@dataclass(frozen=True)
class Variant:
    """One variant: `label` names it in tables, `revision` is a commit or '.', `without` the mechanisms switched off."""

    label: str
    revision: str
    without: tuple[str, ...] = ()

    @classmethod
    def parse(cls, text):
        """Reads LABEL=REVISION[/MECHANISM,...]; raises TrialError 215 for what is no such thing."""
        match = re.fullmatch(r'([\w.-]+)=([\w.^~-]+)(?:/([\w,]+))?', text)
        if match is None:
            raise TrialError('bad_trial', f'variant {text!r} is not LABEL=REVISION[/MECHANISM,...]')
        without = tuple((match[3] or '').split(',')) if match[3] else ()
        if unknown(without):
            raise TrialError('bad_trial', f'variant {match[1]}: no such mechanism: {", ".join(unknown(without))}')
        return cls(match[1], match[2], without)

    def prepare(self, scratch):
        """Lays the sources out below `scratch` and returns their folder."""
        folder = Path(scratch) / self.label
        if folder.exists():
            shutil.rmtree(folder)
        _git('clone', '--quiet', '--no-hardlinks', str(ROOT), str(folder))
        if self.revision == WORKING_TREE:
            _lay_working_tree(folder)
        else:
            _git('-C', str(folder), 'checkout', '--quiet', _git('rev-parse', self.revision).strip())
        if (ROOT / 'target').exists():
            shutil.copytree(ROOT / 'target', folder / 'target', dirs_exist_ok=True)
        if self.without:
            switch_off(folder / DEPLOY, self.without)
        return folder


def switch_off(deploy, without):
    """Rewrites a deploy file so that its core processes run without these mechanisms; edges decide nothing."""
    text = deploy.read_text()
    changed, count = re.subn(
        r'^(run = "python3 platform/start\.py (?:trellis|controller))"$',
        rf'\1 --without {",".join(without)}"',
        text,
        flags=re.M,
    )
    if count != 1:
        raise TrialError('bad_trial', f'{deploy}: no single program of the core to switch mechanisms off in')
    tomllib.loads(changed)
    deploy.write_text(changed)


def _git(*words):
    done = subprocess.run(['git', '-C', str(ROOT), *words], capture_output=True, text=True)
    if done.returncode:
        raise TrialError('bad_trial', f'git {" ".join(words)}: {done.stderr.strip()}')
    return done.stdout


def _lay_working_tree(folder):
    for name in _git('ls-files', '-co', '--exclude-standard').splitlines():
        source = ROOT / name
        if name.startswith('journal/') or not source.is_file():
            continue
        (folder / name).parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(source, folder / name)
    for name in _git('ls-files', '-d').splitlines():
        (folder / name).unlink(missing_ok=True)
