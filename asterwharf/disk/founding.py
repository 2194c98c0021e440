"""Who founds the system together, kept on the disk of each founder from its first start on.

The settings say only at the very first start that the system is to be founded. A process that ends before it was
founded would otherwise never found it. The record lives and dies with the disk, so a machine that has lost its disk
is no founder any more.
"""

from dataclasses import dataclass, replace


@dataclass(frozen=True)
class Founding:
    """The founders' addresses, as the settings of the first start had them."""

    founders: tuple[str, ...]

    @classmethod
    def of(cls, settings):
        """What a first start keeps: a Founding, or None where this process founds nothing."""
        if not settings.found or settings.bind not in settings.founders:
            return None
        return cls(tuple(settings.founders))

    def resume(self, settings):
        """The settings with the first start's word on the founding."""
        return replace(settings, found=True, founders=list(self.founders), core_size=len(self.founders))
