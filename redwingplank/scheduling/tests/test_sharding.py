from collections import Counter

from redwingplank.scheduling.sharding import shard_of_worker


class TestShardOfWorker:
    def test_spreads_workers_and_moves_few_when_a_shard_is_added(self):
        workers = [f"w{index}" for index in range(3000)]
        before = {worker: shard_of_worker(worker, ["d#0", "d#1", "d#2"]) for worker in workers}
        after = {
            worker: shard_of_worker(worker, ["d#0", "d#1", "d#2", "d#3"]) for worker in workers
        }
        assert min(Counter(before.values()).values()) > 900
        moved = [worker for worker in workers if before[worker] != after[worker]]
        assert all(after[worker] == "d#3" for worker in moved)
        assert 600 < len(moved) < 900
