import test from "ava";
import { NameSuggester } from "./NameSuggester.js";

test("the known name with the fewest edits is suggested", t => {
    const teams = new Set(["workshop", "dispatch", "depots"]);
    t.is(new NameSuggester().suggest("dipatch", "team", teams), "; the nearest known team is \"dispatch\"");
    t.is(new NameSuggester().suggest("dipatch", "team", new Set()), "");
});

test("no names are suggested after the maximum number of comparisons", t => {
    const suggester = new NameSuggester();
    const names = new Set([...Array(1_000).keys()].map(index => `team-${index}`));
    const hints = [...Array(25).keys()].map(() => suggester.suggest("team-x", "team", names));
    t.is(hints.filter(hint => hint !== "").length, 20);
});
