#!/usr/bin/env node
/**
 * Writes docs/CAPACITY.md from bench-results/ and the sweeps in journal/.
 *
 * @packageDocumentation
 */
import {existsSync, readFileSync, readdirSync, writeFileSync} from 'node:fs';
import type {PartResult} from './report/part-result.js';
import {computeFigures} from './capacity/figures.js';
import {FULL_SIZE} from './capacity/fleet-size.js';
import {Measured} from './capacity/measured.js';
import {renderPage} from './capacity/page.js';
import {readSweep} from './capacity/sweep.js';

const folder = 'bench-results';
const journal = 'journal';
const page = 'docs/CAPACITY.md';

const files = existsSync(folder) ? readdirSync(folder) : [];
const results = files
  .filter(file => file.endsWith('.json'))
  .map(file => readFileSync(`${folder}/${file}`, 'utf8'))
  .map(text => JSON.parse(text) as PartResult);
const measured = new Measured(
  Object.fromEntries(results.map(result => [result.part, result])),
);
const figures = computeFigures(measured, FULL_SIZE);
writeFileSync(
  page,
  renderPage(measured, figures, FULL_SIZE, readSweep(journal)),
);
process.stdout.write(`${page} written from ${results.length} parts\n`);
