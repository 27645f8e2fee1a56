import { build } from "esbuild";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));

/** Resolves workspace packages to their TypeScript sources, so that no compiled files are needed or written. */
const workspaceSources = {
    name: "workspace-sources",
    setup: builder => {
        builder.onResolve({ filter: /^@skylarkpath\// }, ({ path }) => {
            const [, name, ...pathSegments] = path.split("/");
            const folder = name === "platform" ? "platform" : `packages/${name}`;
            return { path: `${root}${folder}/src/${pathSegments.join("/")}.ts` };
        });
    }
};

/**
 * Replaces undici with its `Pool`. The rest (fetch, WebSocket, mocks) is never used and would take a third of a process's
 * heap.
 */
const undiciPools = {
    name: "undici-pools",
    setup: builder => {
        builder.onResolve({ filter: /^undici$/ }, () => ({ path: "undici", namespace: "undici-pools" }));
        builder.onLoad({ filter: /.*/, namespace: "undici-pools" }, () => ({
            contents: "exports.Pool = require(\"undici/lib/dispatcher/pool.js\");",
            resolveDir: root
        }));
    }
};

// Code splitting keeps dynamically imported modules in separate files, so that a process loads only what it uses.
await build({
    absWorkingDir: root,
    entryPoints: { skylarkd: "packages/skylarkd/src/main.ts" },
    outdir: "target",
    bundle: true,
    splitting: true,
    platform: "node",
    target: "node20",
    format: "esm",
    outExtension: { ".js": ".mjs" },
    plugins: [workspaceSources, undiciPools],
    // Also removes comments. Only they contain characters outside Latin-1, and a single one makes V8 store the whole
    // source with two bytes per character.
    minifyWhitespace: true,
    minifySyntax: true,
    legalComments: "none",
    banner: { js: "import { createRequire } from \"node:module\";\nconst require = createRequire(import.meta.url);" },
    logLevel: "warning"
});
