import { writeFileSync } from "node:fs";
import { EVENTS } from "../packages/common/out/log/EventCatalogue.js";

const rows = Object.values(EVENTS)
    .sort((left, right) => left.number - right.number)
    .map(event => `| ${event.number} | \`${event.name}\` | ${event.level} | ${event.description} |`);
const page = `# Log events

Every process writes its log as JSON lines to the standard error stream, and keeps the same events on its time line
(\`skylark timeline\`). Each event has a number that never changes its meaning. \`npm run events\` writes this page from
the code; a test fails where the two differ.

| number | name | level | meaning |
| --- | --- | --- | --- |
${rows.join("\n")}
`;
writeFileSync(new URL("../docs/EVENTS.md", import.meta.url), page);
