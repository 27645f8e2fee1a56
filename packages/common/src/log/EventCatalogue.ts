import { type EventDefinition, EventLevel } from "./EventLog.js";

function define(number: number, name: string, level: EventLevel, description: string): EventDefinition {
    return { number, name, level, description };
}

/** All numbered log events. A test checks that docs/EVENTS.md lists exactly these. */
export const EVENTS = {
    processStarted: define(1001, "process-started", EventLevel.Info, "The process has started."),
    processReady: define(1002, "process-ready", EventLevel.Info, "The process accepts requests."),
    processStopping: define(1003, "process-stopping", EventLevel.Info, "A graceful stop began."),
    processStopped: define(1004, "process-stopped", EventLevel.Info, "The graceful stop is complete."),
    peerAlive: define(
        1101,
        "peer-alive",
        EventLevel.Info,
        "Another process was seen for the first time, or again after a silence."
    ),
    peerSuspected: define(
        1102,
        "peer-suspected",
        EventLevel.Warning,
        "Another process has been silent for longer than the suspicion timeout."
    ),
    peerDead: define(1103, "peer-dead", EventLevel.Warning, "Another process is considered dead."),
    liveListChanged: define(1104, "live-list-changed", EventLevel.Info, "The live list of the platform changed."),
    configAdopted: define(
        1201,
        "config-adopted",
        EventLevel.Info,
        "A newer version of the configuration is in force in this process."
    ),
    configApplied: define(
        1202,
        "config-applied",
        EventLevel.Info,
        "A configuration submitted by an operator was committed."
    ),
    configConflict: define(
        1203,
        "config-conflict",
        EventLevel.Warning,
        "A configuration submitted by an operator was refused, since another version is committed already."
    ),
    configInvalid: define(
        1204,
        "config-invalid",
        EventLevel.Error,
        "A stored configuration has errors and was not adopted."
    ),
    keyGranted: define(1301, "key-granted", EventLevel.Info, "A team key was granted."),
    keyWithdrawn: define(1302, "key-withdrawn", EventLevel.Info, "A team key was withdrawn."),
    withdrawalIncomplete: define(
        1311,
        "withdrawal-incomplete",
        EventLevel.Warning,
        "A withdrawal is neither in the store nor acknowledged by every live process."
    ),
    allotmentsMoved: define(
        1801,
        "allotments-moved",
        EventLevel.Info,
        "Grants of the teams' limits were moved between slices."
    ),
    allotmentGivenBack: define(1802, "allotment-given-back", EventLevel.Info, "An owner lowered grants of its slice."),
    sliceAcquired: define(1401, "slice-acquired", EventLevel.Info, "This process has become the owner of a slice."),
    sliceLost: define(1402, "slice-lost", EventLevel.Warning, "This process no longer owns a slice."),
    sliceHandedOver: define(1403, "slice-handed-over", EventLevel.Info, "A slice was handed to its successor."),
    sliceTakenUnrecorded: define(
        1421,
        "slice-taken-unrecorded",
        EventLevel.Warning,
        "A named successor took over a slice while the store could not be reached."
    ),
    sliceReceived: define(
        1422,
        "slice-received",
        EventLevel.Info,
        "A slice and its state were received from the previous owner."
    ),
    processPaused: define(
        1423,
        "process-paused",
        EventLevel.Warning,
        "The process was paused; it sends no commands until it has checked its ownership again."
    ),
    fleetStatus: define(
        1431,
        "fleet-status",
        EventLevel.Info,
        "State of the fleet and the reasons why steps wait; written by the owner at an interval."
    ),
    runTimesLearnt: define(
        1451,
        "run-times-learnt",
        EventLevel.Info,
        "Run times of a queue, or of its gangs: observed steps, and the expected run time divided by the estimate of the last one."
    ),
    workerFenced: define(
        1411,
        "worker-fenced",
        EventLevel.Info,
        "A worker no longer accepts commands of earlier epochs."
    ),
    workerLost: define(
        1412,
        "worker-lost",
        EventLevel.Warning,
        "A worker is lost: its leases have lapsed, or it has left, restarted or refuses connections."
    ),
    workerCrashed: define(
        1414,
        "worker-crashed",
        EventLevel.Warning,
        "A worker crashed under a task; the event names the task and the number of its crashes."
    ),
    holdReleased: define(1413, "hold-released", EventLevel.Info, "Tasks claimed under earlier epochs may start again."),
    requestAccepted: define(1501, "request-accepted", EventLevel.Info, "A request was accepted durably."),
    requestRefused: define(
        1502,
        "request-refused",
        EventLevel.Info,
        "A request was refused; the reply says that it did not run."
    ),
    clientsLimited: define(
        1508,
        "clients-limited",
        EventLevel.Warning,
        "Clients were refused, or their connections closed, for their use of the process; the sum of some seconds."
    ),
    requestEnded: define(1503, "request-ended", EventLevel.Info, "The outcome of a request is final."),
    requestCancelled: define(
        1506,
        "request-cancelled",
        EventLevel.Info,
        "The cancellation of a request by its caller was stored."
    ),
    requestDeferred: define(
        1509,
        "request-deferred",
        EventLevel.Info,
        "An accepted request waits behind others: its team uses more than its share, or it can't be of use any more."
    ),
    lookupDispatched: define(1504, "lookup-dispatched", EventLevel.Debug, "A look-up was sent to a target."),
    answerDropped: define(
        1505,
        "answer-dropped",
        EventLevel.Warning,
        "An answer that belongs to no attempt was dropped."
    ),
    orderResolved: define(
        1521,
        "order-resolved",
        EventLevel.Warning,
        "The outcome of a look-up whose entry process died was determined and committed."
    ),
    jobGivenUp: define(
        1507,
        "job-given-up",
        EventLevel.Warning,
        "A job fails because workers crash under one of its tasks."
    ),
    taskStarted: define(1511, "task-started", EventLevel.Debug, "The start of a task was requested from a worker."),
    taskEnded: define(1512, "task-ended", EventLevel.Debug, "A task ended."),
    storeUnavailable: define(1601, "store-unavailable", EventLevel.Warning, "The table service cannot be reached."),
    storeAvailable: define(1602, "store-available", EventLevel.Info, "The table service can be reached again."),
    storeReadBack: define(
        1603,
        "store-read-back",
        EventLevel.Info,
        "A write whose reply was lost was found committed by reading the store."
    ),
    startRefused: define(
        1513,
        "start-refused",
        EventLevel.Info,
        "An order to start a task was refused or got no reply."
    ),
    rowUnreadable: define(
        1604,
        "row-unreadable",
        EventLevel.Error,
        "A row of the store cannot be decoded and is skipped."
    ),
    directoryChanged: define(1105, "directory-changed", EventLevel.Info, "The directory of workers changed."),
    entryUnreadable: define(
        1106,
        "entry-unreadable",
        EventLevel.Warning,
        "An entry of the directory of workers is invalid and is ignored."
    ),
    configRefused: define(
        1205,
        "config-refused",
        EventLevel.Error,
        "A configuration cannot be decoded; the last valid one stays in force."
    ),
    evacuationBegun: define(
        1206,
        "evacuation-begun",
        EventLevel.Info,
        "The owner starts nothing more in a failure domain; the event tells how many tasks run there."
    ),
    evacuationEnded: define(
        1207,
        "evacuation-ended",
        EventLevel.Info,
        "A failure domain is taken back, and the owner may start tasks there again."
    ),
    evacuationEmptied: define(
        1208,
        "evacuation-emptied",
        EventLevel.Info,
        "No task runs any more on the workers of an evacuated failure domain."
    ),
    startsWithheld: define(
        1432,
        "starts-withheld",
        EventLevel.Warning,
        "The owner starts nothing until it has read again which failure domains are evacuated."
    ),
    ownerSuspected: define(
        1424,
        "owner-suspected",
        EventLevel.Warning,
        "The owner of the fleet does not answer or does not confirm its row."
    ),
    settingsReloaded: define(
        1006,
        "settings-reloaded",
        EventLevel.Info,
        "The process received the signal that its settings have changed."
    ),
    linesDropped: define(
        1007,
        "lines-dropped",
        EventLevel.Warning,
        "Log lines were dropped because too many were written in one interval."
    ),
    processFailed: define(1005, "process-failed", EventLevel.Error, "An error was not handled."),
    messageRefused: define(
        1701,
        "message-refused",
        EventLevel.Warning,
        "A message of another process was refused: malformed, too frequent or with a clock too far ahead."
    )
} as const satisfies Readonly<Record<string, EventDefinition>>;
