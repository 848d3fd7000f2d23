#!/usr/bin/env node
/** Entry point of the binary. */
import * as runCli from './run_cli.js';

void runCli.runCli(process.argv.slice(2));
