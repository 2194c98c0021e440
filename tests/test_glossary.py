"""The glossary is true: the aliases it names are there, and it has all of them."""

import re
from pathlib import Path

from asterwharf.base.aliases import COMMANDS, SETTINGS

ROOT = Path(__file__).parent.parent
TEXT = (ROOT / 'docs/glossary.md').read_text()


def table(title):
    """The rows of a chapter's table, without its head."""
    chapter = TEXT.split(f'\n## {title}\n')[1].split('\n## ')[0]
    rows = [[c.strip().strip('`') for c in r.strip('|').split('|')] for r in chapter.splitlines() if r.startswith('|')]
    return rows[2:]


def test_it_lists_the_old_commands_that_still_work():
    assert dict(table('Commands')) == COMMANDS


def test_it_lists_the_old_settings_that_still_work():
    assert dict(table('Settings')) == SETTINGS


def test_the_words_and_files_it_gives_for_the_platform_are_there():
    from platform_rig import settings

    assert set(settings.ROLES) == {'controller', 'edge', 'trellis', 'furrow'}
    assert (ROOT / 'deploy/controller.toml').exists() and not (ROOT / 'deploy/trellis.toml').exists()


def test_no_word_is_mapped_twice_or_to_an_old_word():
    titles = ('Replicated groups', 'Requests and nodes', 'Scheduling')
    rows = [r for t in titles for r in table(t)]
    old = [r[0] for r in rows]
    assert len(old) == len(set(old)) and all(len(r) == 2 and r[1] for r in rows)
    words = {w for o in old for w in re.findall(r'[a-z_]+', o.partition(' (')[0])} - {
        'core',
        'document',
        'queues',
        'view',
    }
    new = {w for r in rows for w in re.findall(r'[a-z_]+', r[1].partition(':')[0])}
    assert not words & new, words & new


def test_readme_and_style_page_name_it():
    assert all('glossary.md' in (ROOT / p).read_text() for p in ('README.md', 'docs/style.md'))
