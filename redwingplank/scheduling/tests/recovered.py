"""Builds a recovered state from journal records, for tests."""

from collections.abc import Iterable

from redwingplank.scheduling.messages import (
    JobAccepted,
    JobCancelled,
    JobFinished,
    JobState,
    JournalRecord,
    RecoveredJob,
    RecoveredState,
    RecoveredTask,
    StartIntended,
    TaskFinished,
)


def recover(records: Iterable[JournalRecord], epoch: int, fence_at_s: float) -> RecoveredState:
    """Return what a new owner of that epoch reads from the records."""
    specs, final, cancelled = {}, {}, set()
    finished: dict[str, dict[str, TaskFinished]] = {}
    intended: dict[str, list[tuple[int, str]]] = {}
    last = 0
    for record in records:
        last, entry = record.sequence, record.entry
        match entry:
            case JobAccepted():
                specs[entry.spec.job_id] = entry.spec
            case JobCancelled():
                cancelled.add(entry.job_id)
            case JobFinished():
                final[entry.job_id] = entry
            case TaskFinished():
                finished.setdefault(entry.task_id.rpartition("/")[0], {})[entry.task_id] = entry
            case StartIntended():
                for task_id, attempt, worker in entry.attempts:
                    intended.setdefault(task_id, []).append((attempt, worker))
    jobs = []
    for job_id, spec in specs.items():
        done = finished.get(job_id, {})
        names = [f"{job_id}/{index}" for index in range(spec.task_count)]
        open_tasks = tuple(
            RecoveredTask(name, tuple(intended.get(name, ())))
            for name in names
            if name not in done and job_id not in final
        )
        end = final.get(job_id)
        state = end.state if end else JobState.ACCEPTED
        detail = end.detail if end else ""
        jobs.append(
            RecoveredJob(spec, state, job_id in cancelled, open_tasks, tuple(done.values()), detail)
        )
    return RecoveredState(epoch, last, tuple(jobs), fence_at_s)
