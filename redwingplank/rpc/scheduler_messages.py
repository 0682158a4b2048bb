"""Converts the messages of the scheduler to and from Cap'n Proto."""

from typing import Any

from redwingplank.core import Resources, make_resources
from redwingplank.rpc.schema import load_schema
from redwingplank.scheduling.messages import (
    JobSpec,
    JobState,
    JobStatus,
    SubmitAnswer,
    SubmitOutcome,
    TaskState,
    TaskStatus,
)
from redwingplank.scheduling.summary import ShardSummary

__all__ = [
    "read_job_status",
    "read_resources",
    "read_spec",
    "read_submit_answer",
    "read_summary",
    "write_job_status",
    "write_resources",
    "write_spec",
    "write_submit_answer",
    "write_summary",
]

# Sent for a job without a run time of its own, which then has that of its service.
NO_RUN_TIME_S = -1.0

_schema: Any = load_schema("scheduler")


def write_resources(resources: Resources) -> Any:
    """Encode resource amounts."""
    accelerators = [{"kind": kind, "count": count} for kind, count in resources.accelerators]
    return _schema.Resources.new_message(
        millicores=resources.millicores,
        memoryMib=resources.memory_mib,
        accelerators=accelerators,
    )


def read_resources(message: Any) -> Resources:
    """Decode resource amounts."""
    by_kind = {item.kind: item.count for item in message.accelerators}
    return make_resources(message.millicores, message.memoryMib, by_kind)


def write_spec(spec: JobSpec) -> Any:
    """Encode the specification of a job."""
    message = _schema.JobSpec.new_message(
        jobId=spec.job_id,
        organisation=spec.organisation,
        service=spec.service,
        taskCount=spec.task_count,
        runTimeS=NO_RUN_TIME_S if spec.run_time_s is None else spec.run_time_s,
        payload=spec.payload,
    )
    if spec.resources is not None:
        message.hasResources = True
        message.resources = write_resources(spec.resources)
    return message


def read_spec(message: Any) -> JobSpec:
    """Decode the specification of a job."""
    return JobSpec(
        job_id=message.jobId,
        organisation=message.organisation,
        service=message.service,
        task_count=message.taskCount,
        resources=read_resources(message.resources) if message.hasResources else None,
        run_time_s=None if message.runTimeS < 0 else message.runTimeS,
        payload=bytes(message.payload),
    )


def write_submit_answer(answer: SubmitAnswer) -> Any:
    """Encode the answer to a submission."""
    return _schema.SubmitAnswer.new_message(
        jobId=answer.job_id,
        outcome=str(answer.outcome),
        detail=answer.detail,
        retryAfterS=answer.retry_after_s,
    )


def read_submit_answer(message: Any) -> SubmitAnswer:
    """Decode the answer to a submission; the call id is 0, since it is not on the wire."""
    outcome = SubmitOutcome(message.outcome)
    return SubmitAnswer(0, message.jobId, outcome, message.detail, message.retryAfterS)


def write_job_status(status: JobStatus) -> Any:
    """Encode the status of a job."""
    message = _schema.JobStatus.new_message(
        jobId=status.job_id,
        organisation=status.organisation,
        service=status.service,
        state=str(status.state),
        reason=status.reason,
    )
    tasks = message.init("tasks", len(status.tasks))
    for index, task in enumerate(status.tasks):
        _fill_task(tasks[index], task)
    return message


def read_job_status(message: Any) -> JobStatus:
    """Decode the status of a job."""
    return JobStatus(
        job_id=message.jobId,
        organisation=message.organisation,
        service=message.service,
        state=JobState(message.state),
        reason=message.reason,
        tasks=tuple(_read_task(task) for task in message.tasks),
    )


def write_summary(summary: ShardSummary) -> Any:
    """Encode the summary of a shard."""
    return _schema.ShardSummary.new_message(
        shard=summary.shard,
        free=write_resources(summary.free),
        capacity=write_resources(summary.capacity),
        waitingByClass=list(summary.waiting_by_class),
        predictedWaitSByClass=list(summary.predicted_wait_s_by_class),
        runningCount=summary.running_count,
        workerCount=summary.worker_count,
        openWorkerCount=summary.open_worker_count,
        quarantinedCount=summary.quarantined_count,
    )


def read_summary(message: Any) -> ShardSummary:
    """Decode the summary of a shard."""
    return ShardSummary(
        shard=message.shard,
        free=read_resources(message.free),
        capacity=read_resources(message.capacity),
        waiting_by_class=tuple(message.waitingByClass),
        predicted_wait_s_by_class=tuple(message.predictedWaitSByClass),
        running_count=message.runningCount,
        worker_count=message.workerCount,
        open_worker_count=message.openWorkerCount,
        quarantined_count=message.quarantinedCount,
    )


def _fill_task(message: Any, task: TaskStatus) -> None:
    message.taskId = task.task_id
    message.state = str(task.state)
    message.attempt = task.attempt
    message.worker = task.worker
    message.reason = task.reason
    message.result = task.result
    message.waitedS = task.waited_s


def _read_task(message: Any) -> TaskStatus:
    return TaskStatus(
        task_id=message.taskId,
        state=TaskState(message.state),
        attempt=message.attempt,
        worker=message.worker,
        reason=message.reason,
        result=bytes(message.result),
        waited_s=message.waitedS,
    )
