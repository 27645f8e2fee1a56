import { readdirSync } from "node:fs";

const examples = readdirSync(new URL("../examples", import.meta.url)).filter(name => name.endsWith(".toml"));
console.log(`${examples.length} example texts`);
