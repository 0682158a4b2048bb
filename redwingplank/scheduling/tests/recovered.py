"""Construction of a recovered state from journal records, for tests."""

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
    """Return the state that a new owner of the given epoch recovers from the records."""
    specs_by_id, finished_jobs, cancelled_ids = {}, {}, set()
    finished_by_job: dict[str, dict[str, TaskFinished]] = {}
    intended_by_task: dict[str, list[tuple[int, str]]] = {}
    last_sequence = 0
    for record in records:
        last_sequence, entry = record.sequence, record.entry
        match entry:
            case JobAccepted():
                specs_by_id[entry.spec.job_id] = entry.spec
            case JobCancelled():
                cancelled_ids.add(entry.job_id)
            case JobFinished():
                finished_jobs[entry.job_id] = entry
            case TaskFinished():
                finished_by_job.setdefault(entry.task_id.rpartition("/")[0], {})[
                    entry.task_id
                ] = entry
            case StartIntended():
                for task_id, attempt, worker in entry.attempts:
                    intended_by_task.setdefault(task_id, []).append((attempt, worker))
    jobs = []
    for job_id, spec in specs_by_id.items():
        finished_tasks = finished_by_job.get(job_id, {})
        task_ids = [f"{job_id}/{index}" for index in range(spec.task_count)]
        open_tasks = tuple(
            RecoveredTask(task_id, tuple(intended_by_task.get(task_id, ())))
            for task_id in task_ids
            if task_id not in finished_tasks and job_id not in finished_jobs
        )
        job_finish = finished_jobs.get(job_id)
        state = job_finish.state if job_finish else JobState.ACCEPTED
        detail = job_finish.detail if job_finish else ""
        jobs.append(
            RecoveredJob(
                spec,
                state,
                job_id in cancelled_ids,
                open_tasks,
                tuple(finished_tasks.values()),
                detail,
            )
        )
    return RecoveredState(epoch, last_sequence, tuple(jobs), fence_at_s)
