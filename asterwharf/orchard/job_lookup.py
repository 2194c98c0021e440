"""Which job a caller means, and what its queue is called now. Pure.

Host and prefix (the place) and the identifier name a job to its client. A queue's name belongs to the operators: they
may give a place another one, and use the old one for another place.
"""


def asked_for(machine, arguments):
    """The job that a caller means, or None where there is none of this identifier at this place."""
    job = machine.jobs.get(arguments['id'])
    return job if job is not None and job.is_at(arguments['queue'], arguments.get('place', '')) else None


def queue_name(queues, job):
    """What operators call the queue of a job; its name of when the job was handed in where there is none there now."""
    queue = queues.at(job.place) if queues and job.place else None
    return queue.name if queue else job.queue
