"""`asterwharf`: the programs of a fleet. `controller` on core machines, `edge` on edges, `agent` beside each minion."""

from asterwharf.base.command import settle


def controller(settings, path, over, cuts):
    """Runs the control plane; returns its exit status."""
    from asterwharf.trellis.main import start

    return start(settings, path, over, cuts)


def edge(settings, path, over, cuts):
    """Runs an edge; returns its exit status."""
    from asterwharf.furrow.main import serve

    return serve(settings, path, over, cuts)


def agent(settings, path, over, cuts):
    """Runs a minion's agent; returns its exit status."""
    from asterwharf.furrow.main import tend

    return tend(settings, path, over, cuts)


def main():
    """The command `asterwharf`."""
    app = settle(
        'asterwharf',
        'A cluster scheduler for jobs whose pieces keep working when they lose sight of each other.',
        {
            'controller': 'The control plane: one on each core machine.',
            'edge': 'An edge: the door for clients and operators.',
            'agent': 'The agent beside one minion.',
        },
        {'controller': controller, 'edge': edge, 'agent': agent},
    )
    app()


if __name__ == '__main__':
    main()
