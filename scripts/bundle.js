import { build } from "esbuild";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));

/** Takes the workspace's packages from their sources, so that nothing but the bundle is written. */
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

/** Takes only the connection pools of undici: its fetch, sockets and mocks are a third of a process's heap and never used. */
const undiciPools = {
    name: "undici-pools",
    setup: builder => {
        builder.onResolve({ filter: /^undici$/ }, () => ({ path: "undici", namespace: "undici-pools" }));
        builder.onLoad({ filter: /.*/, namespace: "undici-pools" }, () => ({
            contents: [
                "const Dispatcher = require(\"undici/lib/dispatcher/dispatcher.js\");",
                "Object.assign(Dispatcher.prototype, require(\"undici/lib/api/index.js\"));",
                "exports.Pool = require(\"undici/lib/dispatcher/pool.js\");"
            ].join("\n"),
            resolveDir: root
        }));
    }
};

// Modules that are loaded on demand stay in files of their own, so that a process holds only what it uses.
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
    // Without comments no character needs two bytes, which would double the memory of the source.
    minifyWhitespace: true,
    minifySyntax: true,
    legalComments: "none",
    banner: { js: "import { createRequire } from \"node:module\";\nconst require = createRequire(import.meta.url);" },
    logLevel: "warning"
});
