import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {Given, Then} from '@cucumber/cucumber';
import {ALL_CODES} from './codes/all-codes.js';
import {renderCodeTable} from './codes/render-code-table.js';

const maxExit = 125;

Given('the core result codes', () => {
  assert.ok(ALL_CODES.length > 0);
});

Then('each code number and name occurs once', () => {
  assert.equal(new Set(ALL_CODES.map(c => c.code)).size, ALL_CODES.length);
  assert.equal(new Set(ALL_CODES.map(c => c.name)).size, ALL_CODES.length);
});

Then('each exit status is between 0 and 125', () => {
  for (const {exit} of ALL_CODES) assert.ok(exit >= 0 && exit <= maxExit);
});

Then('the table in {string} matches the codes', (file: string) => {
  assert.equal(readFileSync(file, 'utf8'), renderCodeTable());
});
