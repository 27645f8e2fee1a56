import test from "ava";
import { renderLineDiff } from "./LineDiff.js";

const OLD_TEXT = [..."abcdefghij"].map(letter => `${letter} = 1\n`).join("");

test("a diff shows changed lines with line numbers and context", t => {
    const newText = OLD_TEXT.replace("e = 1", "e = 2").replace("j = 1\n", "");
    t.deepEqual(renderLineDiff(OLD_TEXT, newText).split("\n"), [
        "@@ -2,9 +2,8 @@",
        " b = 1",
        " c = 1",
        " d = 1",
        "-e = 1",
        "+e = 2",
        " f = 1",
        " g = 1",
        " h = 1",
        " i = 1",
        "-j = 1"
    ]);
});

test("equal texts give an empty diff, and a diff from an empty text adds every line", t => {
    t.is(renderLineDiff(OLD_TEXT, OLD_TEXT), "");
    t.is(renderLineDiff("", "a = 1\n"), "@@ -0,0 +1,1 @@\n+a = 1");
});

test("texts with more than 4000 changed lines are not compared line by line", t => {
    const newText = [...Array(5_000).keys()].map(index => `x${index} = 1\n`).join("");
    t.is(renderLineDiff(OLD_TEXT, newText), "more than 4000 lines differ");
});
