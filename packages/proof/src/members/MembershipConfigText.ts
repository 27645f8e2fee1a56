import { DOMAINS_CONFIG_TEXT } from "../DomainsConfigText.js";

/** Operators' configuration text of the membership tests: two teams, a look-up queue and a batch queue. */
export const MEMBERSHIP_CONFIG_TEXT = `
deployment = "members"
${DOMAINS_CONFIG_TEXT}[teams.dispatch]
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
