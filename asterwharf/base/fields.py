"""Checked fields: descriptors over slots, so a wrong type stops where it is set."""


class Field:
    """One checked attribute of a Plot; `typ` may be a type or a tuple of types."""

    __slots__ = ('dft', 'key', 'low', 'nam', 'typ')

    def __init__(self, typ, dft=None, low=None):
        self.typ, self.dft, self.low = typ, dft, low

    def __set_name__(self, own, nam):
        self.nam, self.key = nam, '_' + nam

    def __get__(self, obj, own=None):
        if obj is None:
            return self
        return getattr(obj, self.key)

    def __set__(self, obj, val):
        # a bool is an int to Python, yet never a size or a count to us
        if not isinstance(val, self.typ) or (isinstance(val, bool) and self.typ is int):
            raise TypeError(f'{type(obj).__name__}.{self.nam}: {val!r} is not {self.typ}')
        if self.low is not None and val < self.low:
            raise ValueError(f'{type(obj).__name__}.{self.nam}: {val!r} is below {self.low}')
        setattr(obj, self.key, val)

    def start(self):
        # containers are made anew for every object
        return self.dft() if callable(self.dft) else self.dft


class PlotType(type):
    """Gives each Field its slot, so no Plot ever carries a stray attribute."""

    def __new__(mcs, nam, bas, spc):
        fds = {k: v for k, v in spc.items() if isinstance(v, Field)}
        spc['__slots__'] = tuple(spc.get('__slots__', ())) + tuple('_' + k for k in fds)
        cls = super().__new__(mcs, nam, bas, spc)
        old = {}
        for b in reversed(cls.__mro__[1:]):
            old.update(getattr(b, 'fields', {}) if isinstance(b, PlotType) else {})
        cls.fields = old | fds
        return cls


class Plot(metaclass=PlotType):
    """A record made of checked fields."""

    def __init__(self, **kws):
        for k, f in self.fields.items():
            setattr(self, k, kws.pop(k) if k in kws else f.start())
        if kws:
            raise TypeError(f'{type(self).__name__}: unknown field {sorted(kws)[0]}')

    def dump(self):
        return {k: getattr(self, k) for k in self.fields}

    def __repr__(self):
        return f'{type(self).__name__}({self.dump()})'
