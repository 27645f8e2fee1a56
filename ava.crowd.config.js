// Tests that load real processes; each runs alone, apart from the other tests.
export default {
    files: ["platform/out/crowd/*.crowd.js"],
    timeout: "2m",
    workerThreads: false,
    concurrency: 1
};
