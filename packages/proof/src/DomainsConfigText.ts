/** Part of the operators' configuration text that tests with three failure domains share: domains and worker class. */
export const DOMAINS_CONFIG_TEXT = `
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
`;
