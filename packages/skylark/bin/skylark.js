#!/usr/bin/env node
await import("../out/main.js");
