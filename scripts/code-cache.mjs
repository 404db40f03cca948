/**
 * Writes the compiled code of a script beside it, as `NAME.cache` for `NAME.js`.
 * All functions are compiled: those that a busy node would compile one by one in
 * its first seconds too.
 *
 * Usage: node [options of V8] scripts/code-cache.mjs FILE
 */
import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {setFlagsFromString} from 'node:v8';
import {Script} from 'node:vm';

const [file = ''] = process.argv.slice(2);
setFlagsFromString('--no-lazy');
const filename = path.resolve(file);
const script = new Script(readFileSync(file, 'utf8'), {filename});
// The cache names the options at its writing.
setFlagsFromString('--lazy');
const data = script.createCachedData();
writeFileSync(file.replace(/\.js$/, '.cache'), data);
