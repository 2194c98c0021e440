"""Each part of leaving and replacing is taken away on purpose: its test is then seen to fail. And quorums meet."""

from itertools import combinations
from types import SimpleNamespace

import pytest
import test_replacement as cases
from replacement import SMALL

from asterwharf.consensus.departure import Departures
from asterwharf.consensus.log import Log, Voter
from asterwharf.consensus.member import GroupMember
from asterwharf.consensus.replica import Replica


def no_place_is_given_over(patch):
    """A leader gives no leaver's place to anybody."""
    patch.setattr(Departures, '_best_of', lambda self, old, candidates: '')


def everyone_is_spared(patch):
    """A leader lets each leaver go at once."""
    patch.setattr(Departures, '_is_spared', lambda self, name, progress: True)


def leavers_do_not_wait(patch):
    """A follower that leaves does not ask its leader."""
    patch.setattr(GroupMember, 'leave', lambda self: True)


def only_the_newest_membership_counts(patch):
    """During a change all must come from the new membership, which one lost member stops."""
    patch.setattr(Log, 'memberships_in_force', lambda self, committed: [{**self.members, 'nobody': ''}])


def zones_do_not_matter(patch):
    """A leaver's place goes to any zone."""
    patch.setattr(Departures, '_zones_allow', lambda self, old, new: True)


BREAKS = [
    (no_place_is_given_over, cases.test_planned_replacement_then_the_next_loss, (SMALL, 1, 'follower')),
    (everyone_is_spared, cases.test_the_leaver_that_holds_the_only_other_copy_stays_until_another_has_it, (1,)),
    (leavers_do_not_wait, cases.test_planned_replacement_then_the_next_loss, (SMALL, 1, 'leader')),
    (only_the_newest_membership_counts, cases.test_a_member_lost_while_its_neighbour_is_replaced, (1,)),
    (zones_do_not_matter, cases.test_no_zone_gets_a_majority_by_a_leaver, (1,)),
]


@pytest.mark.parametrize(('break_it', 'case', 'given'), BREAKS, ids=[b[0].__name__ for b in BREAKS])
def test_a_broken_part_is_seen(break_it, case, given, monkeypatch):
    with monkeypatch.context() as patch:
        break_it(patch)
        with pytest.raises(AssertionError):
            case(*given)
    case(*given)


def quorums(memberships):
    """All sets of voters that are a majority of each membership."""
    voters = sorted({voter for members in memberships for voter in members})
    subsets = (set(c) for size in range(len(voters) + 1) for c in combinations(voters, size))
    group = SimpleNamespace(memberships_in_force=[dict(members) for members in memberships])
    return [s for s in subsets if Replica.is_quorum(group, s)]


def changes(size):
    """(before, after) for a replacement, a lost disk, and growth."""
    before = [Voter(f't{i}', 'a') for i in range(size)]
    new = Voter('new', 'a')
    yield set(before), set(before[1:]) | {new}
    yield set(before), set(before[1:]) | {Voter('t0', 'b')}
    yield set(before), set(before) | {new}


@pytest.mark.parametrize('size', [1, 2, 3, 4, 5])
def test_any_two_quorums_in_force_meet(size):
    for before, after in changes(size):
        # replicas without the entry, with it in doubt, and knowing that it is committed
        in_doubt = quorums([before, after])
        assert all(a & b for a in in_doubt for b in in_doubt + quorums([before]) + quorums([after]))
        # and one member less is borne where it was borne before: the newcomer and the leaver count
        for lost in before:
            if len(before - {lost}) * 2 > len(before) and size > 2:
                assert any(lost not in quorum for quorum in in_doubt)
