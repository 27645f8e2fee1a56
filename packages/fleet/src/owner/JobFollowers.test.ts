import test, { type ExecutionContext } from "ava";
import { JobPhase } from "../model/JobSpec.js";
import { JobFollowers, type JobKnowledge } from "./JobFollowers.js";

interface Fixture {
    readonly followers: JobFollowers;
    /** What the owner knows, by job. */
    readonly phases: Map<string, JobPhase | undefined>;
    readonly notified: string[];
    readonly change: (jobId: string, phase: JobPhase | undefined) => void;
}

function setUp(t: ExecutionContext): Fixture {
    const phases = new Map<string, JobPhase | undefined>();
    const knowledgeOf = (jobId: string): JobKnowledge => ({ known: phases.has(jobId), phase: phases.get(jobId) });
    const followers = new JobFollowers(knowledgeOf);
    const notified: string[] = [];
    followers.onNews(entry => notified.push(entry));
    t.teardown(() => followers.dispose());
    const change = (jobId: string, phase: JobPhase | undefined): void => {
        phases.set(jobId, phase);
        followers.jobChanged(jobId);
    };
    return { followers, phases, notified, change };
}

test("a change is told to the entries that follow the job only, and once", t => {
    const { followers, notified, change } = setUp(t);
    change("job", JobPhase.Queued);
    followers.follow("a", { whole: true, phases: { job: JobPhase.Queued } });
    followers.follow("b", { whole: true, phases: {} });
    change("job", JobPhase.Running);
    t.deepEqual(notified, ["a"]);
    t.deepEqual(followers.takeNews("a").updates, [{ id: "job", phase: JobPhase.Running }]);
    t.false(followers.hasNews("a"));
    t.deepEqual(followers.takeNews("b").updates, []);
});

test("an entry whose jobs the owner does not know must name all of them", t => {
    const { followers, change } = setUp(t);
    change("job", JobPhase.Running);
    t.false(followers.follow("a", { whole: false, phases: { job: JobPhase.Queued } }));
    t.true(followers.follow("a", { whole: true, phases: { job: JobPhase.Queued } }));
    t.deepEqual(followers.takeNews("a").updates, [{ id: "job", phase: JobPhase.Running }]);
});

test("a job that the owner does not know is told as unknown and no longer followed", t => {
    const { followers, change } = setUp(t);
    followers.follow("a", { whole: true, phases: { job: JobPhase.Running } });
    t.deepEqual(followers.takeNews("a"), { updates: [], unknown: ["job"] });
    change("job", JobPhase.Completed);
    t.false(followers.hasNews("a"));
});

test("a final state is told once it is committed", t => {
    const { followers, change } = setUp(t);
    change("job", JobPhase.Running);
    followers.follow("a", { whole: true, phases: { job: JobPhase.Running } });
    change("job", undefined);
    t.false(followers.hasNews("a"));
    change("job", JobPhase.Completed);
    t.deepEqual(followers.takeNews("a").updates, [{ id: "job", phase: JobPhase.Completed }]);
});

test("a lost reply is made good by the next request, which names all jobs with the states that the entry knows", t => {
    const { followers, change } = setUp(t);
    change("job", JobPhase.Queued);
    followers.follow("a", { whole: true, phases: { job: JobPhase.Queued } });
    change("job", JobPhase.Completed);
    followers.takeNews("a");
    followers.follow("a", { whole: true, phases: { job: JobPhase.Queued } });
    t.deepEqual(followers.takeNews("a").updates, [{ id: "job", phase: JobPhase.Completed }]);
});
