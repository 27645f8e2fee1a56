export default {
    files: ["packages/*/out/**/*.test.js", "platform/out/**/*.test.js"],
    timeout: "2m",
    workerThreads: false,
    concurrency: 4
};
