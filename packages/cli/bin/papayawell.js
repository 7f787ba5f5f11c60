#!/usr/bin/env node
// Entry point of the command line; requires the compiled output in `dist`.
import '../dist/src/node/main.js';
