#!/usr/bin/env node
import {runCli} from './run-cli.js';

process.exitCode = await runCli(process.argv, {
  out: line => process.stdout.write(`${line}\n`),
  err: line => process.stderr.write(`${line}\n`),
  env: process.env,
});
