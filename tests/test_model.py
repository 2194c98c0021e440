"""The replicated group under every trouble the model knows: by hypothesis, and by seeded profiles."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from asterwharf.sim.history_checker import Outcome, check
from asterwharf.sim.model.cluster import Cluster, Shape
from asterwharf.sim.model.driver import PROFILES, Driver
from asterwharf.sim.model.history import history_of

# seeds of each profile in CI; many more by `python -m asterwharf.sim.model`
SEEDS = 2
# bounds of silence within which a group serves again once all trouble has ended
SERVES_WITHIN = 10
NAMES = st.sampled_from(['n0', 'n1', 'n2', 'n3'])


class Group(RuleBasedStateMachine):
    """Three members and a spare; each rule is one trouble, and time passes after each."""

    @initialize(seed=st.integers(0, 2**16), fifo=st.booleans(), grow=st.sampled_from([0, 4]))
    def begin(self, seed, fifo, grow):
        loss, copies = (0.0, 0.0) if fifo else (0.02, 0.03)
        self.cluster = Cluster(Shape(3, 1, fifo, loss, copies, 0.002, True, seed, grow, 4))
        self.cluster.run(2000)

    def after(self, span):
        self.cluster.run(span)

    @rule(span=st.sampled_from([5, 30, 120, 500, 1500]))
    def time_passes(self, span):
        self.after(span)

    @rule(count=st.integers(1, 8), span=st.sampled_from([5, 60]))
    def orders(self, count, span):
        for _ in range(count):
            for node in self.cluster.running():
                self.cluster.propose(node.name)
        self.after(span)

    @rule(name=NAMES)
    def read(self, name):
        self.cluster.read(name)
        self.after(5)

    @rule(a=NAMES, b=NAMES, holds=st.booleans())
    def cut(self, a, b, holds):
        self.cluster.net.cut(a, b, holds)
        self.after(5)

    @rule(name=NAMES, holds=st.booleans())
    def isolate(self, name, holds):
        for other in self.cluster.nodes:
            self.cluster.net.cut(name, other, holds)
            self.cluster.net.cut(other, name, holds)
        self.after(5)

    @rule()
    def heal(self):
        for pair in sorted(self.cluster.net.cuts):
            self.cluster.net.heal(*pair, self.cluster.now)
        self.after(20)

    @rule(name=NAMES, kept=st.integers(0, 3), back=st.booleans())
    def crash(self, name, kept, back):
        known = self.cluster.nodes[name].life
        self.cluster.crash(name, kept)
        if back and known:
            self.cluster.start(name)
        self.after(5)

    @rule(name=NAMES)
    def start(self, name):
        self.cluster.start(name)
        self.after(20)

    @rule(name=NAMES)
    def lose_disk(self, name):
        if self.cluster.may_lose(name):
            self.cluster.crash(name)
            self.cluster.wipe(name)
        self.after(5)

    @rule(name=NAMES)
    def freeze(self, name):
        self.cluster.freeze(name)
        self.after(5)

    @rule(name=NAMES)
    def thaw(self, name):
        self.cluster.thaw(name)
        self.cluster.read(name)
        self.after(20)

    @rule(name=NAMES)
    def transfer(self, name):
        self.cluster.transfer(name)
        self.after(5)

    @precondition(lambda self: self.cluster.leader() is not None)
    @rule(name=NAMES)
    def replace(self, name):
        self.cluster.replace(name, 'n3')
        self.after(60)

    def teardown(self):
        if hasattr(self, 'cluster'):
            assert self.cluster.calm() <= SERVES_WITHIN


Group.TestCase.settings = settings(
    derandomize=True, deadline=None, database=None, max_examples=60, stateful_step_count=40
)
TestGroup = Group.TestCase


@pytest.mark.parametrize('name', sorted(PROFILES))
def test_no_rule_is_broken_and_the_group_serves_once_calm(name):
    for seed in range(SEEDS):
        driver = Driver(PROFILES[name], seed)
        assert driver.play() <= SERVES_WITHIN
        found = check(history_of(driver.cluster.history))
        assert found.outcome is Outcome.LINEARIZABLE, found.reason


def test_the_same_seed_is_the_same_run():
    runs = [Driver(PROFILES['spares'], 7) for _ in range(2)]
    for driver in runs:
        driver.play()
    assert runs[0].trace == runs[1].trace
    assert runs[0].cluster.checks.chains == runs[1].cluster.checks.chains
