/** Operators' text of the membership tests: two teams and two kinds of queues. */
export const MEMBERS_TEXT = `
deployment = "members"
[failure_domains.vantaa]
region = "etela"
[failure_domains.tampere]
region = "etela"
[failure_domains.oulu]
region = "pohjoinen"
[worker_classes.standard]
processors = 16
memory = "64GiB"
accelerators = 0
[teams.dispatch]
share = 1
limit = { processors = 12, memory = "48GiB", accelerators = 0, slots = 6 }
[teams.depot]
share = 1
limit = { processors = 24, memory = "96GiB", accelerators = 0, slots = 12 }
[queues.part-lookup]
kind = "lookup"
idempotent = true
default_deadline = "800ms"
[queues.diagnostics]
kind = "batch"
idempotent = true
default_deadline = "2h"
`;
