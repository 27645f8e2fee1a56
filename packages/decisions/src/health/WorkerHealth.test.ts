import test from "ava";
import { WorkerCondition } from "./WorkerCondition.js";
import { type FailureSource, WorkerHealth } from "./WorkerHealth.js";

const WORKERS = 8;

function createSource(hasSucceeded: boolean, failedWorkerCount: number): FailureSource {
    return { hasSucceeded, failedWorkerCount };
}

test("quarantines a worker on which tasks of several groups fail, then puts it on probation", t => {
    const health = new WorkerHealth(() => WORKERS);
    for (let task = 0; task < 3; task++) {
        health.taskFailed("bad", `t${task}`, createSource(false, 1), 0);
    }
    t.is(health.conditionOf("bad"), WorkerCondition.Quarantined);
    health.advance(59_999);
    t.is(health.conditionOf("bad"), WorkerCondition.Quarantined);
    health.advance(60_000);
    t.is(health.conditionOf("bad"), WorkerCondition.Probation);
    health.taskFailed("bad", "t4", createSource(true, 1), 61_000);
    t.is(health.conditionOf("bad"), WorkerCondition.Quarantined);
    health.advance(61_000 + 119_999);
    t.is(health.conditionOf("bad"), WorkerCondition.Quarantined);
    health.advance(61_000 + 120_000);
    health.taskSucceeded("bad");
    t.is(health.conditionOf("bad"), WorkerCondition.Healthy);
});

test("does not quarantine a worker for groups that fail on other workers too", t => {
    const health = new WorkerHealth(() => WORKERS);
    for (let task = 0; task < 10; task++) {
        health.taskFailed("good", `t${task}`, createSource(false, 2), 0);
    }
    t.is(health.conditionOf("good"), WorkerCondition.Healthy);
});

test("does not quarantine a worker for a single group without any success, however many of its tasks fail", t => {
    const health = new WorkerHealth(() => WORKERS);
    const source = createSource(false, 1);
    for (let task = 0; task < 8; task++) {
        health.taskFailed("good", `t${task}`, source, 0);
    }
    t.is(health.conditionOf("good"), WorkerCondition.Healthy);
});

test("releases a quarantined worker when a group whose failures counted against it is rejected", t => {
    const health = new WorkerHealth(() => WORKERS);
    const sources = [createSource(false, 1), createSource(false, 1), createSource(false, 1)];
    sources.forEach((source, task) => health.taskFailed("good", `t${task}`, source, 0));
    t.is(health.conditionOf("good"), WorkerCondition.Quarantined);
    health.sourceRejected(sources[0]!);
    t.is(health.conditionOf("good"), WorkerCondition.Healthy);
});

test("quarantines no more than a quarter of the workers", t => {
    const health = new WorkerHealth(() => WORKERS);
    for (let worker = 0; worker < WORKERS; worker++) {
        for (let task = 0; task < 3; task++) {
            health.taskFailed(`w${worker}`, `t${worker}-${task}`, createSource(true, 1), 0);
        }
    }
    const conditions = [...Array(WORKERS).keys()].map(worker => health.conditionOf(`w${worker}`));
    t.is(conditions.filter(condition => condition === WorkerCondition.Quarantined).length, 2);
});

test("the last worker that may take tasks is not quarantined, and leaves its quarantine when its peers have left", t => {
    let workers = 2;
    const health = new WorkerHealth(() => workers);
    const failOn = (workerId: string): void => {
        for (let number = 0; number < 3; number++) {
            health.taskFailed(workerId, `task-${number}`, { hasSucceeded: true, failedWorkerCount: 1 }, 0);
        }
    };
    failOn("w1");
    t.is(health.conditionOf("w1"), WorkerCondition.Quarantined);
    failOn("w2");
    t.is(health.conditionOf("w2"), WorkerCondition.Healthy);
    workers = 1;
    health.advance(1);
    t.is(health.conditionOf("w1"), WorkerCondition.Probation);
});
