import {performance} from 'node:perf_hooks';
import {applyDelta, compile, delta, findRoute} from '@verbenabeam/document';
import {documentText} from '../fleet/document-text.js';
import {currentLoad} from '../report/machine.js';
import type {Row} from '../report/part-result.js';

const sizes = [10_000, 100_000, 999_000];
const repeats = 15;
const lookups = 100_000;
const usPerMs = 1_000;

function medianMs(run: () => void): number {
  const times = Array.from({length: repeats}, () => {
    const start = performance.now();
    run();
    return performance.now() - start;
  });
  return times.sort((a, b) => a - b)[Math.floor(repeats / 2)] ?? 0;
}

function measureDocument(size: number): Row {
  const text = documentText({size, timeout: '2s'});
  const next = documentText({size, timeout: '3s'});
  const change = delta(text, next);
  const document = compile(next).unwrapOrElse(err => {
    throw err;
  });
  const snapshot = {
    environment: 'production',
    version: 1,
    hash: document.hash,
    acceptedAt: 0,
    document,
  };
  const query = {host: 'host-9.internal', path: '/a/9/files/7', method: 'GET'};
  const findAll = () => {
    for (let i = 0; i < lookups; i++) findRoute(snapshot, query);
  };
  return {
    labels: {measure: 'document', documentBytes: size},
    values: {
      routes: document.routes.length,
      compileMs: medianMs(() => compile(next)),
      makeDeltaMs: medianMs(() => delta(text, next)),
      applyDeltaMs: medianMs(() => applyDelta(text, change)),
      findRouteUs: (medianMs(findAll) / lookups) * usPerMs,
    },
    load: currentLoad(),
  };
}

/** Times of the operations on documents of several sizes. @internal */
export function measureDocuments(): Row[] {
  return sizes.map(measureDocument);
}
