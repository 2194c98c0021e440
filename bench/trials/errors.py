"""Numbered errors of trials: a wrong setting or a report that is cut short gives no figure."""

from asterwharf.base.codes import TABLE


class TrialError(Exception):
    """A trial that can't be judged; `code` is the row of the table of codes."""

    def __init__(self, name, detail):
        self.code = TABLE[name]
        super().__init__(f'{self.code.num} {name}: {self.code.text} {detail}')
