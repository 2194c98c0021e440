"""The cluster configuration of a simulated deployment, in the product's own words."""


def document(site, number, idle=None):
    """The queues document, in the product's own words: a queue for each kind of job, and some that nobody uses."""
    rows = [
        {
            'name': f'r-{k.name}',
            'host': 'jobs.example',
            'prefix': f'/{k.name}/',
            'kind': 'writing',
            'timeout_ms': 3000,
            'aim_ms': k.aim_ms,
            'priority': k.priority,
            'group': k.group,
            'tries': k.tries,
            'stretch': k.stretch,
            'more': {},
        }
        for k in site.kinds
    ]
    rows += [idle_queue(site, i) for i in (range(site.idle) if idle is None else idle)]
    return {
        'number': number,
        'queues': rows,
        'groups': [
            {'name': s.name, 'guards': s.guards, 'more': {'health_path': '/health', 'max_conns': 64}}
            for s in site.services
        ],
        'limits': {'body_bytes': 262144, 'header_bytes': 16384, 'header_wait_ms': 3000, 'idle_ms': 15000, 'more': {}},
        'more': {},
    }


def idle_queue(site, i):
    return {
        'name': f'r-idle{i}',
        'host': 'jobs.example',
        'prefix': f'/idle{i}/',
        'kind': 'writing',
        'timeout_ms': 3000,
        'aim_ms': 2000,
        'priority': 1,
        'group': site.services[i % len(site.services)].name,
        'tries': 2,
        'stretch': 2.0,
        'more': {},
    }
