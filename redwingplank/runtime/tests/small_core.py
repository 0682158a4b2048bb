"""A minimal decision core for tests of the runtime."""

from dataclasses import dataclass

from redwingplank.core import NO_RESOURCES, make_resources
from redwingplank.platform import StartTask, TaskCompletionReason, WorkerRequest
from redwingplank.scheduling.messages import (
    CancelAnswer,
    CancelJob,
    JobAccepted,
    JobFinished,
    JobSpec,
    JobState,
    JobStatus,
    JournalCommitted,
    JournalRecord,
    Outbox,
    OwnershipChanged,
    OwnershipMode,
    SubmitAnswer,
    SubmitJob,
    SubmitOutcome,
    TaskFinished,
    TaskState,
    WorkerAdopted,
    WorkerReported,
)

NEED = make_resources(1000, 1024)


@dataclass
class _Job:
    spec: JobSpec
    state: JobState = JobState.ACCEPTED
    is_durable: bool = False
    open_count: int = 0


class SmallCore:
    """Starts the tasks of durable jobs on the adopted workers in turn."""

    def __init__(self, recovered, lease_s=6.0):
        self.epoch = recovered.epoch
        self.sequence = recovered.last_sequence
        self.mode = OwnershipMode.LOST
        self.lease_s = lease_s
        self.records = []
        self.messages: list = []
        self.requests: dict = {}
        self.answers_by_sequence = {}
        self.starts_by_sequence = {}
        self.acknowledgements = {}
        self.jobs = {}
        self.workers = {}
        self.waiting = []
        self.running = set()
        self.renewed_at = {}
        for job in recovered.jobs:
            self.jobs[job.spec.job_id] = _Job(job.spec, job.state, True, len(job.open_tasks))
            self.waiting += [(task.task_id, job.spec) for task in job.open_tasks]

    def tick(self, now_s, inbox):
        self.messages, self.requests = [], {}
        for message in inbox:
            self._handle_message(message)
        if self.mode is OwnershipMode.OWNING:
            self._start_waiting()
        if self.mode is not OwnershipMode.LOST:
            self._renew(now_s)
        records, self.records = tuple(self.records), []
        return Outbox(records, self.requests, tuple(self.messages), ())

    def job_status(self, job_id, now_s):
        job = self.jobs.get(job_id)
        if job is None or not job.is_durable:
            return None
        return JobStatus(job_id, job.spec.organisation, job.spec.service, job.state, "", ())

    def job_version(self, job_id):
        job = self.jobs.get(job_id)
        return 0 if job is None else 1 + (job.state is not JobState.ACCEPTED)

    def explain(self, id, now_s):
        return (f"id={id}",)

    def reserved_by(self, organisation):
        return NO_RESOURCES

    def _handle_message(self, message):
        match message:
            case OwnershipChanged():
                self.mode = message.mode
            case SubmitJob():
                self._submit(message)
            case CancelJob():
                is_known = message.job_id in self.jobs
                self.messages.append(CancelAnswer(message.call_id, message.job_id, is_known))
            case JournalCommitted():
                self._handle_commit(message.sequence)
            case WorkerAdopted():
                self._handle_adoption(message)
            case WorkerReported():
                self._handle_report(message.report)

    def _submit(self, message):
        spec = message.spec
        if self.mode is not OwnershipMode.OWNING:
            answer = SubmitAnswer(message.call_id, spec.job_id, SubmitOutcome.NOT_NOW, "", 1.0)
            self.messages.append(answer)
            return
        if spec.job_id in self.jobs:
            answer = SubmitAnswer(message.call_id, spec.job_id, SubmitOutcome.DUPLICATE)
            self.messages.append(answer)
            return
        self.jobs[spec.job_id] = _Job(spec, open_count=spec.task_count)
        sequence = self._append(JobAccepted(spec))
        answer = SubmitAnswer(message.call_id, spec.job_id, SubmitOutcome.ACCEPTED)
        self.answers_by_sequence[sequence] = (spec, answer)

    def _handle_commit(self, sequence):
        for done in [number for number in self.answers_by_sequence if number <= sequence]:
            spec, answer = self.answers_by_sequence.pop(done)
            self.jobs[spec.job_id].is_durable = True
            self.waiting += [(f"{spec.job_id}/{index}", spec) for index in range(spec.task_count)]
            self.messages.append(answer)
        for done in [number for number in self.acknowledgements if number <= sequence]:
            worker, completion_sequence = self.acknowledgements.pop(done)
            self._add_request(worker, acknowledged_sequence=completion_sequence)

    def _handle_adoption(self, message):
        name = message.vm.name
        self.workers[name] = message.inventory.epoch
        running_here = {task.task_id for task in message.inventory.running}
        self.running |= running_here
        self.waiting = [pair for pair in self.waiting if pair[0] not in running_here]
        self._record_completions(name, message.inventory.ended)

    def _handle_report(self, report):
        self._record_completions(report.worker, report.ended)

    def _record_completions(self, worker, completions):
        for completion in completions:
            if completion.reason is not TaskCompletionReason.COMPLETED:
                continue
            job_id = completion.task_id.rpartition("/")[0]
            is_new = completion.task_id in self.running or any(
                completion.task_id == task_id for task_id, _ in self.waiting
            )
            if not is_new:
                continue
            self.running.discard(completion.task_id)
            self.waiting = [pair for pair in self.waiting if pair[0] != completion.task_id]
            sequence = self._append(
                TaskFinished(completion.task_id, TaskState.SUCCEEDED, completion.result)
            )
            job = self.jobs[job_id]
            job.open_count -= 1
            if job.open_count == 0:
                job.state = JobState.SUCCEEDED
                sequence = self._append(JobFinished(job_id, JobState.SUCCEEDED))
            self.acknowledgements[sequence] = (worker, completion.sequence)

    def _start_waiting(self):
        if not self.workers:
            return
        names = sorted(self.workers)
        for index, (task_id, spec) in enumerate(self.waiting):
            start = StartTask(task_id, self.epoch, spec.resources or NEED, spec.payload)
            self._add_request(names[index % len(names)], starts=(start,))
            self.running.add(task_id)
        self.waiting = []

    def _renew(self, now_s):
        for name in self.workers:
            if now_s - self.renewed_at.get(name, -1e9) >= self.lease_s / 4:
                self.renewed_at[name] = now_s
                self._add_request(name)

    def _add_request(self, worker, starts=(), acknowledged_sequence=0):
        queued = self.requests.get(worker)
        self.requests[worker] = WorkerRequest(
            self.epoch,
            self.lease_s,
            (queued.starts if queued else ()) + starts,
            (),
            max(acknowledged_sequence, queued.acknowledged_sequence if queued else 0),
        )

    def _append(self, entry):
        self.sequence += 1
        self.records.append(JournalRecord(self.sequence, entry))
        return self.sequence


def make_small_core(settings, shard, recovered, declarations, now_s):
    return SmallCore(recovered, settings.task_lease_s)
