"""An operator replaces a core machine by its word: one seat change like any other, refused where it could fork."""

from asterwharf.sim.fleet import LINK, VIEW, Fleet

JOB = {'class': 'surge', 'tasks': [{'name': 'a', 'cores': 1, 'run': {'ms': 50}}]}


class Site:
    """A fleet with two spare machines, named but not started."""

    def __init__(self, seed=5):
        f = self.f = Fleet(seed, edges=2, minions=2).start()
        assert f.ready()
        f.watch()
        for n in ('t8', 't9'):
            f._host(n, 'trellis', 'z1', LINK, VIEW, '', {})
        # one that holds nothing: what is asked of a holder meets a holder
        self.old = next(n for n in f.core if n not in (f.holder('core'), f.holder('commons')))

    def ask(self, old, new):
        box = []
        self.f.call._call('replace', 'both', {'old': old, 'new': new}, lambda c, b: box.append(c))
        assert self.f.w.until(lambda: box, 8000)
        return box[0]

    def start(self, *names):
        for n in names:
            self.f.w.start(n)
        assert self.f.w.until(lambda: all(self.there(n) for n in names), 5000)

    def there(self, n):
        return all(n in self.f.member(self.f.holder(g), g).replica.leadership.progress for g in ('core', 'commons'))

    def seats(self, grp='core'):
        return sorted(self.f.member(self.f.holder(grp), grp).replica.log.members)


def test_a_named_newcomer_is_seated_at_once_and_the_next_loss_is_stood():
    s = Site()
    s.f.w.kill(s.old)
    s.f.w.run(s.f.w.t + 2500)
    s.start('t9')
    beg = s.f.w.t
    assert s.f.w.until(lambda: s.ask(s.old, 't9') == 'ok', 6000)
    # by itself it would have waited for thirty bounds
    assert s.f.w.t - beg < 5000 and all('t9' in s.seats(g) and s.old not in s.seats(g) for g in ('core', 'commons'))
    s.f.core = [n for n in s.f.core if n != s.old] + ['t9']
    s.f.w.kill(s.f.holder('commons'))
    s.f.call.submit('basin', 'after', JOB)
    assert s.f.settle(20000) and not s.f.obs.broken
    # the old machine comes back with its disk and has no voice
    s.f.w.start(s.old)
    s.f.w.run(s.f.w.t + 4000)
    assert s.f.member(s.old, 'core').replica.state == 'learner' and s.old not in s.seats()


def test_a_seat_in_sight_is_not_given_away():
    s = Site()
    s.start('t9')
    assert s.ask(s.old, 't9') == 'in_sight' and s.old in s.seats()


def test_nobody_is_seated_without_a_majority():
    s = Site()
    for n in s.f.core:
        if n != s.f.holder('core'):
            s.f.w.kill(n)
    s.f.w.start('t9')
    s.f.w.run(s.f.w.t + 4000)
    assert s.ask(s.old, 't9') in ('no_holder', 'unsure')
    # and the newcomer founds nothing of its own
    s.f.w.run(s.f.w.t + 10000)
    assert s.f.member('t9', 'core').replica.state == 'learner' and not s.f.holder('core')


def test_of_two_operators_one_has_the_yes():
    s = Site()
    s.f.w.kill(s.old)
    s.f.w.run(s.f.w.t + 2500)
    s.start('t8', 't9')
    got = []
    for new in ('t8', 't9'):
        s.f.call._call('replace', 'both', {'old': s.old, 'new': new}, lambda c, b, new=new: got.append((c, new)))
    assert s.f.w.until(lambda: len(got) == 2, 8000)
    assert sorted(c for c, _ in got) == ['promised', 'under_way']
    won = next(n for c, n in got if c == 'under_way')
    assert s.f.w.until(lambda: s.ask(s.old, won) == 'ok', 8000)
    assert all(won in s.seats(g) and len(s.seats(g)) == 3 for g in ('core', 'commons'))


def test_a_newcomer_nobody_has_seen_and_a_seat_nobody_has():
    s = Site()
    s.f.w.kill(s.old)
    s.f.w.run(s.f.w.t + 2500)
    assert s.ask(s.old, 't9') == 'not_there' and s.ask('t7', 't9') == 'unknown_seat'


def test_one_that_is_back_in_time_keeps_its_seat_whatever_was_said():
    s = Site()
    s.f.w.kill(s.old)
    s.f.w.run(s.f.w.t + 2500)
    s.start('t9')
    leadership = s.f.member(s.f.holder('core'), 'core').replica.leadership
    s.f.w.start(s.old)
    assert s.f.w.until(lambda: leadership.in_sight(s.old), 3000)
    leadership.replacements[s.old] = 't9'
    s.f.w.run(s.f.w.t + 3000)
    assert s.old in s.seats() and 't9' not in s.seats()


def test_two_lost_disks_stop_the_group_and_never_fork_it():
    s = Site()
    f = s.f
    f.call.submit('basin', 'kept', JOB)
    assert f.settle(10000)
    here = f.holder('commons')
    for n in f.core:
        if n != here:
            f.w.kill(n)
            f.w.wipe(n)
            f.w.start(n)
    f.w.run(f.w.t + 20000)
    # none holds, none is founded anew, nobody is told anything but to come again
    assert not f.holder('commons') and not f.holder('core')
    assert all(f.member(n, 'core').replica.empty for n in f.core if n != here)
    box = []
    f.call._call('job', 'cell', {'tenant': 'basin', 'id': 'kept'}, lambda c, b: box.append(c))
    f.call._call('submit', 'cell', {'tenant': 'basin', 'id': 'new', 'spec': JOB}, lambda c, b: box.append(c))
    assert f.w.until(lambda: len(box) == 2, 9000) and set(box) <= {'no_holder', 'unsure'}


def test_runbook_every_machine_of_the_core_to_new_names_and_addresses_under_traffic():
    s = Site()
    f = s.f
    f._host('t7', 'trellis', 'z1', LINK, VIEW, '', {})
    for i in range(160):
        f.w.after(i * 250, f.call.submit, 'basin', f'w{i}', JOB, 0.2)
    for old, new in zip(list(f.core), ('t7', 't8', 't9')):
        f.w.start(new)
        # as the runbook says: the new one is there, the old one stops, the word is said until it is done
        assert f.w.until(
            lambda: all(
                f.holder(g) and new in f.member(f.holder(g), g).replica.leadership.progress for g in ('core', 'commons')
            ),
            8000,
        )
        f.w.kill(old)
        assert f.w.until(lambda: f.holder('core') and f.holder('commons'), 8000)
        assert f.w.until(lambda: s.ask(old, new) == 'ok', 20000)
        f.core = [n for n in f.core if n != old] + [new]
        assert f.w.until(
            lambda: all(
                f.member(n, g).replica.log.members.get(new) and not f.member(n, g).replica.changing
                for n in f.core
                for g in ('core', 'commons')
            ),
            8000,
        )
    assert s.seats() == ['t7', 't8', 't9'] and f.settle(60000) and not f.obs.broken, f.obs.broken
    # nobody was told the new addresses by any settings file; and what is started now asks what is left of them
    assert all(set(f.core) <= set(f.node(e).b.links) for e in f.edges)
    assert len(f.obs.kept) == 160


def test_after_a_loss_for_good_and_a_restart_of_the_rest_the_group_still_orders_in_its_newest_words():
    # found on the platform: a seat never heard since the restart counted as of the first release
    s = Site()
    f = s.f
    f.call.submit('basin', 'before', JOB)
    assert f.w.until(lambda: f.obs.count['done'], 20000)
    f.w.kill(s.old)
    # every change so far in the log or the rows, none of it heard from the lost seat again
    rest = [n for n in f.core if n != s.old]
    for n in rest:
        f.w.kill(n)
    for n in rest:
        f.w.start(n)
    f.core = rest
    assert f.w.until(lambda: f.holder('commons'), 20000)
    cha = f.member(f.holder('commons'), 'commons')
    assert s.old in cha.replica.log.members and cha.protos.get(s.old) is None
    assert cha.floor == cha.replica.proved > 1


def test_a_newcomer_takes_the_seat_that_was_silent_for_long():
    s = Site()
    f = s.f
    for n in f.core:
        for g in ('core', 'commons'):
            f.member(n, g).replica.settings = type(VIEW)(keep_log=150, chunk=20000, lost_ratio=5.0)
    f._host('t9', 'trellis', f.w.hosts[s.old].node.b.zone, LINK, VIEW, '', {})
    f.w.kill(s.old)
    f.w.run(f.w.t + 1500)
    s.start('t9')
    # no word of an operator: five bounds of silence are enough
    assert f.w.until(lambda: all('t9' in s.seats(g) and s.old not in s.seats(g) for g in ('core', 'commons')), 9000)
