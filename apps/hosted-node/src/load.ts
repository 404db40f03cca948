#!/usr/bin/env node
/**
 * Runs the bundle of the hosted node with the compiled code that its build wrote.
 * V8 compiles the source as usual if that code is missing or made by another
 * version or with other options.
 *
 * @packageDocumentation
 */
import {existsSync, readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {fileURLToPath} from 'node:url';
import {Script} from 'node:vm';

/** The bundle as a function of what a script lacks. */
type Bundle = (
  require: NodeJS.Require,
  bundleUrl: string,
  codeCache: string,
) => Promise<void>;

// Loading takes a while, and SIGHUP without a handler would end the process. The
// program reads its settings later, so nothing is missed.
process.on('SIGHUP', () => undefined);

const url = new URL('verbenabeam.bundle.js', import.meta.url).href;
const filename = fileURLToPath(url);
const cache = filename.replace(/\.js$/, '.cache');
const cachedData = existsSync(cache) ? readFileSync(cache) : undefined;
const source = readFileSync(filename, 'utf8');
const script = new Script(source, {filename, cachedData});
const isUsed = cachedData !== undefined && script.cachedDataRejected !== true;
const run = script.runInThisContext() as Bundle;
await run(createRequire(url), url, isUsed ? 'used' : 'not used');
