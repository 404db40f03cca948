import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {parseSweep} from './sweep.js';
import type {Sweep} from './sweep.js';
import {renderSweep} from './sweep-section.js';

const digest = [
  'middle / busiest or longest, by own machines',
  '                         10              30  power  at 1260',
  'node: memory MB     40.0 / 45.0     41.0 / 50.0   0.10  72.6',
  'node: kB a second   50.0 / 60.0       60 / 160    0.89  4437',
  'config acked, ms       490 / 490       490 / 490    0.0  490',
].join('\n');
const entry = {
  id: 'abc',
  at: ['2026-12-06T00:00:00Z', ''],
  cmd: 'sweep',
  ok: true,
  site: 'site-a',
  digest,
};
const entries: Readonly<Record<string, object>> = {
  'a finished sweep': entry,
  'a sweep that failed': {...entry, ok: false},
  'another command': {...entry, cmd: 'score'},
};
let sweep: Sweep | null = null;

Given(/^the journal entry of (.+)$/, (name: string) => {
  assert.ok(entries[name], name);
  sweep = parseSweep(JSON.stringify(entries[name]));
});

Then(
  'the sweep section has the figures of each size and names the first limit',
  () => {
    const text = renderSweep(sweep);
    assert.match(text, /\| memory MB \| 40 \/ 45 \| 41 \/ 50 \| 0.1 \|/);
    assert.match(text, /\| config acked, ms \| 490 \/ 490 \|/);
    // 30 nodes times (1,750 / 160) to the power of 1 / 0.89
    assert.match(text, /first limit .* is kB a second, at 441 nodes/);
  },
);

Then('the sweep section says that nothing was measured', () => {
  assert.match(renderSweep(sweep), /not measured/);
});
