"""The model's clients as a history for the checker of the operators' register."""

from asterwharf.sim.history_checker import History


def history_of(operations):
    """The calls of a cluster (`cluster.Operation`); one whose fate is not known stays open-ended."""
    history = History()
    for op in operations:
        if op.kind == 'read':
            call = history.invoke('read', at=op.begun)
            if op.ended >= 0:
                history.returned(call, 'ok', at=op.ended, number=op.result, document=str(op.result or ''))
            continue
        call = history.invoke('replace', at=op.begun, base=op.expect, number=op.value, document=str(op.value))
        if op.ended >= 0:
            history.returned(call, 'ok' if op.result else 'stale', at=op.ended)
    return history.operations
