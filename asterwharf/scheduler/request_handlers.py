"""All handlers of requests in one controller, as the leaders of the core and of a cell need them. Pure."""

from asterwharf.scheduler.handlers.cluster import ClusterHandlers
from asterwharf.scheduler.handlers.configuration import ConfigurationHandlers
from asterwharf.scheduler.handlers.jobs import JobHandlers


class RequestHandlers(JobHandlers, ConfigurationHandlers, ClusterHandlers):
    """Answers requests at the leaders."""

    __slots__ = ()
