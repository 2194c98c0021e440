"""Whether a state machine's rows give the same state machine again: replicas differ for good where they don't. Pure."""

from asterwharf.wire.schema import PROTO


def restored(machine, rows):
    """A state machine of the same kind, loaded from `rows`."""
    other = type(machine)()
    other.reads, other.floor = machine.reads, machine.floor
    other.load(dict(rows))
    return other


def restored_differences(machine, rows):
    """The parts of the state, by name, that `machine` has and one loaded from its `rows` has otherwise.

    Rows for an older release hold only what it can read, so nothing is compared while one is in the group.
    """
    if machine.floor < PROTO:
        return []
    ours, theirs = machine.replicated_state(), restored(machine, rows).replicated_state()
    return [part for part in ours if ours[part] != theirs[part]]
