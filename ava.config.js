export default {
    files: ["packages/*/out/**/*.test.js"],
    timeout: "5m",
    workerThreads: false,
    concurrency: 4
};
