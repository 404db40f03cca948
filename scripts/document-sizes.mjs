/**
 * Measures documents of 10 KB, 100 KB and 1 MB with a one-line change: bytes of
 * a push with the full text and with a delta, and the median times to compile,
 * make a delta, apply it and find a route.
 *
 * Usage: npm run build && node scripts/document-sizes.mjs
 */
import {performance} from 'node:perf_hooks';
import {encode} from 'cbor-x';
import {
  applyDelta,
  compile,
  delta,
  findRoute,
} from '../packages/document/dist/index.js';

const sizes = [10_000, 100_000, 999_000];
const repeats = 15;
const lookups = 100_000;
const microsecondsPerMs = 1_000;

function makeText(size, timeout) {
  const parts = ['[policy]\nstrictness = "careful"\n'];
  let length = parts[0].length;
  for (let i = 0; ; i++) {
    const part =
      `[services.service-${i}]\nversions = ["v1", "v2"]\ncurrent = "v1"\n\n` +
      `[[routes]]\nname = "route-${i}"\nservice = "service-${i}"\n` +
      `host = "host-${i % 50}.internal"\npath_prefix = "/service-${i}/files"\n` +
      `methods = ["GET"]\ntimeout = "${i === 7 ? timeout : '2s'}"\n\n`;
    if (length + part.length > size) return {text: parts.join(''), routes: i};
    parts.push(part);
    length += part.length;
  }
}

function medianMs(run) {
  const times = Array.from({length: repeats}, () => {
    const start = performance.now();
    run();
    return performance.now() - start;
  });
  return times.sort((a, b) => a - b)[Math.floor(repeats / 2)];
}

function pushBytes(content) {
  const head = {environment: 'production', version: 42, root: 'node-17'};
  const hash = '0123456789abcdef';
  const message = {...head, hash, acceptedAt: Date.now(), moves: [], content};
  return encode(message).length;
}

for (const size of sizes) {
  const {text, routes} = makeText(size, '2s');
  const next = makeText(size, '3s').text;
  const change = delta(text, next);
  const doc = compile(next).unwrapOrElse(err => {
    throw err;
  });
  const query = {host: 'host-9.internal', path: '/service-9/files/7'};
  const findAll = () => {
    for (let i = 0; i < lookups; i++) {
      findRoute({document: doc}, {...query, method: 'GET'});
    }
  };
  console.log(
    [
      `document=${text.length} B`,
      `routes=${routes}`,
      `full=${pushBytes({text: next, textHash: change.result})} B`,
      `delta=${pushBytes({base: 41, delta: change})} B`,
      `compile=${medianMs(() => compile(next)).toFixed(2)} ms`,
      `makeDelta=${medianMs(() => delta(text, next)).toFixed(2)} ms`,
      `applyDelta=${medianMs(() => applyDelta(text, change)).toFixed(2)} ms`,
      `findRoute=${((medianMs(findAll) / lookups) * microsecondsPerMs).toFixed(2)} us`,
    ].join(' '),
  );
}
