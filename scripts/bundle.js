import { build } from "esbuild";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));

/** Takes the workspace's packages from their sources, so that nothing but the bundle is written. */
const workspaceSources = {
    name: "workspace-sources",
    setup: builder => {
        builder.onResolve({ filter: /^@skylarkpath\// }, ({ path }) => {
            const [, name, ...file] = path.split("/");
            const folder = name === "platform" ? "platform" : `packages/${name}`;
            return { path: `${root}${folder}/src/${file.join("/")}.ts` };
        });
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
    plugins: [workspaceSources],
    banner: { js: "import { createRequire } from \"node:module\";\nconst require = createRequire(import.meta.url);" },
    logLevel: "warning"
});
