import test, { type ExecutionContext } from "ava";
import { err, ok } from "neverthrow";
import { createServer, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { PassThrough, Readable } from "node:stream";
import { text as readText } from "node:stream/consumers";
import { ExitCode } from "./ExitCode.js";
import { runSkylark } from "./SkylarkCli.js";

interface Reply {
    readonly status: number;
    readonly body: unknown;
}

interface Server {
    readonly url: string;
    /** Received calls as `METHOD PATH BODY`. */
    readonly calls: readonly string[];
    readonly authorizations: readonly string[];
}

interface RunResult {
    readonly exitCode: number;
    readonly output: string;
    readonly errors: string;
}

const DROPPED_CONNECTION: Reply = { status: 0, body: "" };
const KEY = "operator-key-1";
const UNREACHABLE = "http://127.0.0.1:1";
const GOOD_TEXT = `deployment = "kallio"
[failure_domains.vantaa]
region = "etela"
[teams.workshop]
share = 3
limit = { processors = 4, memory = "16GiB", slots = 6 }
[worker_classes.standard]
processors = 16
memory = "64GiB"
`;
const BAD_TEXT = GOOD_TEXT.replace("share = 3", "share = -3").replace("\"64GiB\"", "\"64\"").replace("etela", "e t");
const FILES: Readonly<Record<string, string>> = {
    "good.toml": GOOD_TEXT,
    "bad.toml": BAD_TEXT,
    "key.txt": `${KEY}\n`,
    "job.json": "{}"
};

/** Serves replies keyed by `METHOD PATH` on a free port until the test ends; other calls get status 404. */
async function startServer(t: ExecutionContext, replies: Readonly<Record<string, Reply>>): Promise<Server> {
    const calls: string[] = [];
    const authorizations: string[] = [];
    const handle = async (request: IncomingMessage) => {
        const call = `${request.method} ${request.url}`;
        calls.push(`${call} ${await readText(request)}`.trim());
        authorizations.push(request.headers.authorization ?? "");
        return replies[call] ?? { status: 404, body: { type: "about:blank", title: "not found", status: 404 } };
    };
    const server = createServer((request, response) => {
        void handle(request).then(reply => {
            if (reply === DROPPED_CONNECTION) {
                request.socket.destroy();
                return;
            }
            response.writeHead(reply.status, { "content-type": "application/json" });
            response.end(JSON.stringify(reply.body));
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => server.close());
    return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, calls, authorizations };
}

async function run(
    commandLine: readonly string[],
    environment: Readonly<Record<string, string>> = {}
): Promise<RunResult> {
    const stdout = new PassThrough();
    const stderr = new PassThrough();
    const exitCode = await runSkylark(commandLine, {
        env: { SKYLARK_OPERATOR_KEY: KEY, ...environment },
        stdin: Readable.from([]),
        stdout,
        stderr,
        colorDepth: 1,
        readTextFile: path => Promise.resolve(path in FILES ? ok(FILES[path]) : err(`${path} can't be read`))
    });
    stdout.end();
    stderr.end();
    return { exitCode, output: await readText(stdout), errors: await readText(stderr) };
}

function runOn(server: Server, ...commandLine: readonly string[]): Promise<RunResult> {
    return run([...commandLine, "--server", server.url]);
}

test("config check prints every finding with its position and exits 1", async t => {
    const { exitCode, output } = await run(["config", "check", "bad.toml"]);
    t.is(exitCode, ExitCode.Refused);
    const lines = output.trimEnd().split("\n");
    t.deepEqual(lines.map(line => line.split(":").slice(0, 3).join(":")), [
        "bad.toml:3:10",
        "bad.toml:5:9",
        "bad.toml:9:10"
    ]);
    t.true(lines.every(line => /^bad\.toml:\d+:\d+: \S/.test(line)));
});

test("place asks the owner that a process names, and prints why a step waits", async t => {
    const path = "POST /placement-preview?queue=jobs&team=lab";
    const step = {
        step: 0,
        tasks: 4,
        after: [],
        fitsNow: 1,
        waitReason: "no-room",
        stepsAhead: 2,
        tasksWithinTeamLimit: 9,
        expectedDurationMs: 800,
        needsPermits: false,
        workers: [{ verdict: "has-room", workers: 1, examples: ["w7"] }]
    };
    const body = {
        queue: "jobs",
        team: "lab",
        priority: 1,
        objectiveMs: 900,
        expectedDurationMs: 800,
        waitingSteps: 3,
        steps: [step]
    };
    const owner = await startServer(t, { [path]: { status: 200, body } });
    const other = await startServer(t, {
        [path]: { status: 421, body: { error: "not-owner", owner: owner.url.replace("http://", "") } }
    });
    const place = ["place", "job.json", "--queue", "jobs", "--team", "lab"];
    const { exitCode, output } = await runOn(other, ...place);
    t.is(exitCode, ExitCode.Ok);
    t.regex(output, /no-room +2 /);
    t.regex(output, /has-room +w7/);
    t.deepEqual(JSON.parse((await runOn(other, ...place, "--json")).output), body);
    const refusing = await startServer(t, { [path]: { status: 400, body: { error: "phases names no task" } } });
    const refused = await runOn(refusing, ...place);
    t.is(refused.exitCode, ExitCode.Refused);
    t.regex(refused.errors, /phases names no task/);
    t.is((await run([...place, "--server", UNREACHABLE])).exitCode, ExitCode.NotReachable);
});

test("config check of a valid text prints ok", async t => {
    t.deepEqual(await run(["config", "check", "good.toml"]), { exitCode: ExitCode.Ok, output: "ok\n", errors: "" });
});

test("invalid command lines exit 2 and print only an error", async t => {
    const wrongCalls = [
        [],
        ["config"],
        ["config", "check"],
        ["config", "check", "absent.toml"],
        ["config", "apply", "good.toml", "--server", UNREACHABLE],
        ["config", "apply", "good.toml", "--base", "seven", "--server", UNREACHABLE],
        ["config", "show"],
        ["config", "show", "--server", "10.0.0.1:8081"],
        ["config", "show", "--unknown"],
        ["timeline", "--since", "10", "--server", UNREACHABLE],
        ["timeline", "--format", "xml", "--server", UNREACHABLE],
        ["status", "--server", UNREACHABLE, "--key-file", "absent.txt"]
    ];
    for (const commandLine of wrongCalls) {
        const { exitCode, output, errors } = await run(commandLine);
        t.is(exitCode, ExitCode.UsageError, commandLine.join(" "));
        t.is(output, "");
        t.not(errors, "");
    }
    t.is((await run(["status", "--server", UNREACHABLE], { SKYLARK_OPERATOR_KEY: "" })).exitCode, ExitCode.UsageError);
});

test("config apply prints the diff and the new version", async t => {
    const server = await startServer(t, {
        "GET /v1/config": { status: 200, body: { version: 7, text: GOOD_TEXT.replace("share = 3", "share = 2") } },
        "PUT /v1/config": { status: 200, body: { version: 8 } }
    });
    const { exitCode, output } = await runOn(server, "config", "apply", "good.toml", "--base", "7");
    t.is(exitCode, ExitCode.Ok);
    t.regex(output, /^-share = 2\n\+share = 3$/m);
    t.regex(output, /^version 8$/m);
    t.deepEqual(server.calls, [
        "GET /v1/config",
        `PUT /v1/config ${JSON.stringify({ baseVersion: 7, text: GOOD_TEXT })}`
    ]);
    t.deepEqual(server.authorizations, [`Bearer ${KEY}`, `Bearer ${KEY}`]);
});

test("config apply applies the first configuration of a deployment", async t => {
    const server = await startServer(t, { "PUT /v1/config": { status: 200, body: { version: 1 } } });
    const { exitCode, output } = await runOn(server, "config", "apply", "good.toml", "--base", "0", "--json");
    t.is(exitCode, ExitCode.Ok);
    t.is(JSON.parse(output).version, 1);
});

test("config apply prints the version that caused a conflict", async t => {
    const problem = { type: "about:blank", title: "conflict", status: 409, winningVersion: 9 };
    const server = await startServer(t, {
        "GET /v1/config": { status: 200, body: { version: 9, text: GOOD_TEXT.replace("share = 3", "share = 5") } },
        "PUT /v1/config": { status: 409, body: problem }
    });
    const { exitCode, output, errors } = await runOn(server, "config", "apply", "good.toml", "--base", "7");
    t.is(exitCode, ExitCode.Conflict);
    t.regex(errors, /conflict: version 9 won; .* version 7/);
    t.regex(output, /^-share = 5\n\+share = 3$/m);
    const same = await startServer(t, {
        "GET /v1/config": { status: 200, body: { version: 9, text: GOOD_TEXT } },
        "PUT /v1/config": { status: 409, body: problem }
    });
    const unchanged = await runOn(same, "config", "apply", "good.toml", "--base", "7");
    t.is(unchanged.output, "good.toml is the same as version 9\n");
});

test("config apply does not send a text with findings and prints the findings of the server", async t => {
    const problem = {
        type: "about:blank",
        title: "findings",
        status: 422,
        findings: [{ position: { line: 5, column: 9 }, message: "team in use\u001b[2J\n" }]
    };
    const server = await startServer(t, { "PUT /v1/config": { status: 422, body: problem } });
    t.is((await runOn(server, "config", "apply", "bad.toml", "--base", "0")).exitCode, ExitCode.Refused);
    const asJson = await runOn(server, "config", "apply", "bad.toml", "--base", "0", "--json");
    t.is(JSON.parse(asJson.output).findings.length, 3);
    t.deepEqual(server.calls, []);
    const refused = await runOn(server, "config", "apply", "good.toml", "--base", "0");
    t.is(refused.exitCode, ExitCode.Refused);
    t.is(refused.output, "good.toml:5:9: team in use\\u001b[2J\\u000a\n");
});

test("a change without a reply is not sent to another server", async t => {
    const first = await startServer(t, { "POST /v1/keys": DROPPED_CONNECTION });
    const second = await startServer(t, {});
    const { exitCode } = await run(["key", "grant", "workshop", "--server", first.url, "--server", second.url]);
    t.is(exitCode, ExitCode.OutcomeUnknown);
    t.is(first.calls.length, 1);
    t.deepEqual(second.calls, []);
});

test("servers are tried in turn until one can serve the call", async t => {
    const unavailable = { type: "about:blank", title: "starting", status: 503 };
    const first = await startServer(t, { "GET /v1/config": { status: 503, body: unavailable } });
    const second = await startServer(t, { "GET /v1/config": { status: 200, body: { version: 4, text: GOOD_TEXT } } });
    const servers = `${UNREACHABLE},${first.url}/,${second.url}`;
    const shown = await run(["config", "show"], { SKYLARK_SERVER: servers });
    t.deepEqual(shown, { exitCode: ExitCode.Ok, output: GOOD_TEXT, errors: "version 4\n" });
    t.deepEqual([first.calls.length, second.calls.length], [1, 1]);
});

test("unreachable and unavailable servers and rejected calls give different exit codes", async t => {
    const server = await startServer(t, {
        "GET /v1/keys": { status: 503, body: { type: "about:blank", title: "store unavailable", status: 503 } },
        "GET /v1/status": { status: 401, body: { type: "about:blank", title: "wrong operator key", status: 401 } },
        "GET /v1/config/status": { status: 200, body: { version: "4" } }
    });
    t.is((await run(["status", "--server", UNREACHABLE])).exitCode, ExitCode.NotReachable);
    t.is((await runOn(server, "key", "list")).exitCode, ExitCode.NotReachable);
    const refused = await runOn(server, "status");
    t.is(refused.exitCode, ExitCode.Refused);
    t.regex(refused.errors, /wrong operator key/);
    const malformed = await runOn(server, "config", "status");
    t.is(malformed.exitCode, ExitCode.NotReachable);
    t.regex(malformed.errors, /reply of the wrong form: version/);
});

test("config status prints versions by failure domain and process and lists unreachable processes", async t => {
    const processes = [
        { processId: "vantaa-1", failureDomain: "vantaa", version: 8, reached: true },
        { processId: "vantaa-2", failureDomain: "vantaa", version: 7, reached: true },
        { processId: "oulu-1", failureDomain: "oulu", version: 0, reached: false }
    ];
    const server = await startServer(t, { "GET /v1/config/status": { status: 200, body: { version: 8, processes } } });
    const { exitCode, output, errors } = await runOn(server, "config", "status");
    t.is(exitCode, ExitCode.Ok);
    t.regex(output, /^vantaa +7 +1 of 2 +0$/m);
    t.regex(output, /^oulu +unknown +0 of 1 +1$/m);
    t.regex(output, /^vantaa +vantaa-2 +7$/m);
    t.regex(output, /^oulu +oulu-1 +not reached$/m);
    t.regex(errors, /not reached: oulu-1/);
    t.deepEqual(JSON.parse((await runOn(server, "config", "status", "--json")).output), { version: 8, processes });
});

test("keys are granted, listed and withdrawn", async t => {
    const listed = { keyId: "k1", team: "workshop", grantedAtMs: 0, withdrawn: true };
    const server = await startServer(t, {
        "POST /v1/keys": { status: 201, body: { keyId: "k1", team: "workshop", key: "k1.secret" } },
        "GET /v1/keys": { status: 200, body: { keys: [{ ...listed, secretHash: "never shown" }] } },
        "DELETE /v1/keys/k1": { status: 200, body: { keyId: "k1", complete: true, missing: [] } },
        "DELETE /v1/keys/a%2Fb": { status: 200, body: { keyId: "a/b", complete: false, missing: ["oulu-1"] } }
    });
    const granted = await run(["key", "grant", "workshop", "--server", server.url, "--key-file", "key.txt"], {
        SKYLARK_OPERATOR_KEY: ""
    });
    t.is(granted.exitCode, ExitCode.Ok);
    t.is(granted.output.split("k1.secret").length, 2);
    t.deepEqual(server.authorizations, [`Bearer ${KEY}`]);
    t.regex((await runOn(server, "key", "list")).output, /^k1 +workshop +1970-01-01T00:00:00\.000Z +yes$/m);
    t.deepEqual(JSON.parse((await runOn(server, "key", "list", "--json")).output), { keys: [listed] });
    t.is((await runOn(server, "key", "withdraw", "k1")).exitCode, ExitCode.Ok);
    const incomplete = await runOn(server, "key", "withdraw", "a/b");
    t.is(incomplete.exitCode, ExitCode.Incomplete);
    t.regex(incomplete.errors, /not acknowledged by: oulu-1/);
});

test("the timeline is printed as text, as JSON and as a trace", async t => {
    const event = { number: 12, name: "taskStarted", time: { wallClockMs: 1_000, counter: 2 }, processId: "vantaa-1" };
    const events = [
        { ...event, requestId: "r1", fields: { worker: "w\n1", requestId: "r1" } },
        { ...event, processId: "oulu-1", time: { wallClockMs: 1_005, counter: 0 }, requestId: "r1", fields: {} }
    ];
    const timeline = { events, notReached: ["oulu-2"] };
    const server = await startServer(t, {
        "GET /v1/timeline?requestId=r1&sinceMs=600000": { status: 200, body: timeline },
        "GET /v1/timeline": { status: 200, body: { events: [], notReached: [] } }
    });
    t.deepEqual(await runOn(server, "timeline"), { exitCode: ExitCode.Ok, output: "", errors: "" });
    const query = ["timeline", "--request", "r1", "--since", "10m"];
    const { output, errors } = await runOn(server, ...query);
    t.is(output.split("\n")[0], "1970-01-01T00:00:01.000Z+2 vantaa-1 12 taskStarted request=r1 worker=\"w\\n1\"");
    t.regex(errors, /not reached: oulu-2/);
    t.deepEqual(JSON.parse((await runOn(server, ...query, "--json")).output), timeline);
    const trace = JSON.parse((await runOn(server, ...query, "--format", "trace")).output);
    const summary = trace.traceEvents.map(({ ph, ts, pid }: { ph: string; ts: number; pid: number; }) => [ph, ts, pid]);
    t.deepEqual(summary, [
        ["M", 0, 1],
        ["M", 0, 2],
        ["i", 1_000_002, 1],
        ["i", 1_005_000, 2],
        ["b", 1_000_002, 1],
        ["n", 1_000_002, 1],
        ["n", 1_005_000, 1],
        ["e", 1_005_000, 1]
    ]);
    t.is(trace.otherData.notReached, "oulu-2");
});

test("status and explain print the reply of the server", async t => {
    const slice = {
        sliceId: "vantaa",
        owner: "vantaa-1",
        epoch: 3,
        workers: 10,
        fencedWorkers: 9,
        runningTasks: 5,
        waitingGroups: 2,
        heldRequests: 1,
        teams: [{
            team: "workshop",
            running: { processorMillicores: 2_500, memoryBytes: 2 ** 30, accelerators: 0 },
            slotsInUse: 4,
            waitingGroups: 2
        }],
        services: { "parts-catalogue": 3 }
    };
    const status = {
        processId: "vantaa-1",
        failureDomain: "vantaa",
        ready: true,
        configVersion: 8,
        storeReachable: false,
        peers: [{ processId: "oulu-1", failureDomain: "oulu", region: "pohjoinen", state: "live", configVersion: 7 }],
        slices: [slice, { ...slice, sliceId: "oulu", teams: [] }],
        notReached: []
    };
    const waiting = { cause: "limit", detail: "team workshop is at its limit" };
    const server = await startServer(t, {
        "GET /v1/status": { status: 200, body: status },
        "GET /v1/explain/vantaa.r1": { status: 200, body: { requestId: "vantaa.r1", state: "accepted", waiting } }
    });
    const { exitCode, output } = await runOn(server, "status");
    t.is(exitCode, ExitCode.Ok);
    t.regex(output, /^vantaa-1 in vantaa: ready, version 8, store not reachable$/m);
    t.regex(output, /^vantaa +vantaa-1 +3 +10 +9 +5 +2 +1$/m);
    t.regex(output, /^workshop +vantaa +2\.5 +1024 +0 +4 +2$/m);
    t.regex(output, /^parts-catalogue +6$/m);
    t.deepEqual(JSON.parse((await runOn(server, "status", "--json")).output), status);
    const explained = await runOn(server, "explain", "vantaa.r1");
    t.regex(explained.output, /^vantaa\.r1 +accepted +limit +team workshop is at its limit$/m);
    t.is((await runOn(server, "explain", "unknown")).exitCode, ExitCode.Refused);
});
