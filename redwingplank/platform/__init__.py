"""Interfaces to the platform: key-value store, VM list, workers and upstreams.

Their HTTP implementations are in `redwingplank.platform.http`.
"""

from redwingplank.platform.errors import (
    OutcomeUnknownError,
    PlatformError,
    RefusedByWorkerError,
    StaleEpochError,
    UnavailableError,
)
from redwingplank.platform.kv import (
    MAX_VALUE_BYTES,
    Compare,
    Delete,
    KeyValue,
    KeyValueStore,
    Put,
    RangeResult,
    TransactionResult,
    WatchBatch,
    WatchEvent,
)
from redwingplank.platform.upstreams import UpstreamAnswer, UpstreamClient, UpstreamRequest
from redwingplank.platform.vms import ListedVm, VmList, VmListing, VmRole, VmState
from redwingplank.platform.workers import (
    Epoch,
    RunningTask,
    StartTask,
    TaskCommand,
    TaskCommandKind,
    TaskCompletion,
    TaskCompletionReason,
    TaskUsage,
    WorkerClient,
    WorkerInventory,
    WorkerReport,
    WorkerRequest,
)

__all__ = [
    "MAX_VALUE_BYTES",
    "Compare",
    "Delete",
    "Epoch",
    "KeyValue",
    "KeyValueStore",
    "ListedVm",
    "OutcomeUnknownError",
    "PlatformError",
    "Put",
    "RangeResult",
    "RefusedByWorkerError",
    "RunningTask",
    "StaleEpochError",
    "StartTask",
    "TaskCommand",
    "TaskCommandKind",
    "TaskCompletion",
    "TaskCompletionReason",
    "TaskUsage",
    "TransactionResult",
    "UnavailableError",
    "UpstreamAnswer",
    "UpstreamClient",
    "UpstreamRequest",
    "VmList",
    "VmListing",
    "VmRole",
    "VmState",
    "WatchBatch",
    "WatchEvent",
    "WorkerClient",
    "WorkerInventory",
    "WorkerReport",
    "WorkerRequest",
]
