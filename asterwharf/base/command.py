"""The command line that both daemons share: a settings file, and flags that go over it."""

import sys
from typing import Annotated, Optional

from cyclopts import App, Parameter

from asterwharf.base import logs
from asterwharf.base.codes import TABLE
from asterwharf.base.settings import load

Many = Annotated[Optional[list[str]], Parameter(consume_multiple=True, negative=())]


def _daemon(name, fn):
    def cmd(
        settings: str = '',
        *,
        name_: Annotated[Optional[str], Parameter(name='--name')] = None,
        bind: Optional[str] = None,
        http: Optional[str] = None,
        zone: Optional[str] = None,
        seeds: Many = None,
        data: Optional[str] = None,
        minion: Optional[str] = None,
        token: Optional[str] = None,
        core_size: Optional[int] = None,
        cores: Optional[float] = None,
        gpus: Optional[int] = None,
        mem: Optional[int] = None,
        log_level: Optional[str] = None,
        check: bool = False,
        test_cuts: str = '',
    ):
        """Runs the process until SIGTERM; SIGHUP rereads the settings.

        Parameters
        ----------
        settings
            The TOML settings file; docs/settings.md lists every key.
        name_
            This process's name; it is its identity.
        bind
            IP:port for other processes.
        http
            IP:port of the HTTP door; none without it.
        zone
            The zone this machine is in.
        seeds
            Addresses of other processes to ask first.
        data
            The data folder; without one the process forgets at each restart.
        minion
            `asterwharf agent`: IP:port of the minion's interface.
        token
            A token that agents and callers must show.
        core_size
            How many core processes there are.
        cores
            `asterwharf agent`: the minion's cores.
        gpus
            `asterwharf agent`: the minion's GPUs.
        mem
            `asterwharf agent`: the minion's memory in bytes.
        log_level
            debug, info, warning or error.
        check
            Only checks the settings.
        test_cuts
            For tests: a file of faults to have, such as names of processes to be cut off from.
        """
        over = {
            'name': name_,
            'bind': bind,
            'http': http,
            'zone': zone,
            'seeds': seeds,
            'data': data,
            'minion': minion,
            'token': token,
            'core_size': core_size,
            'cores': cores,
            'gpus': gpus,
            'mem': mem,
            'log_level': log_level,
        }
        res = load(settings, over)
        if res.is_error():
            row = TABLE['bad_settings']
            print(f'{row.num} {row.nam}: {row.text} {row.cure}', file=sys.stderr)
            for m in res.error:
                print(f'  {m}', file=sys.stderr)
            sys.exit(row.exit)
        if check:
            print('settings are good')
            return
        logs.setup(res.ok.name, res.ok.log_level)
        try:
            sys.exit(fn(res.ok, settings, over, test_cuts))
        except OSError as e:
            logs.say('error', 'alarm', alarm='no_bind', code=504, bind=res.ok.bind, http=res.ok.http, why=str(e))
            sys.exit(TABLE['no_bind'].exit)

    cmd.__name__ = name
    return cmd


def settle(name, about, helps, fns):
    """A cyclopts application: one command, or one for each of `fns`."""
    app = App(name=name, help=about, help_format='plaintext')
    if not isinstance(fns, dict):
        app.default(_daemon(name, fns))
        return app
    for k, fn in fns.items():
        app.command(_daemon(k, fn), name=k, help=helps[k])
    return app
