import assert from 'node:assert/strict';
import path from 'node:path';
import {SnapshotState, toMatchSnapshot} from 'jest-snapshot';

/** Where a snapshot is kept and under which name. @public */
export interface SnapshotOptions {
  /** Path of the package or app, relative to the repository root. */
  readonly owner: string;
  /** Name of the snapshot, unique in its owner. */
  readonly name: string;
}

/**
 * Compares a value with the stored snapshot in `<owner>/src/__snapshots__`.
 * A missing snapshot fails in CI and is written elsewhere; set
 * `UPDATE_SNAPSHOTS=1` to rewrite.
 *
 * @public
 */
export function matchSnapshot(value: unknown, options: SnapshotOptions): void {
  const fileName = options.name.replaceAll(/[^a-zA-Z0-9]+/g, '-');
  const file = path.resolve(
    options.owner,
    'src/__snapshots__',
    `${fileName}.snap`,
  );
  const state = new SnapshotState(file, {
    updateSnapshot: updateMode(),
    snapshotFormat: {},
    prettierPath: null,
    rootDir: process.cwd(),
  });
  const context = {
    snapshotState: state,
    currentTestName: options.name,
    isNot: false,
    promise: '',
    dontThrow: () => undefined,
  };
  const match = toMatchSnapshot.bind(
    context as unknown as ThisParameterType<typeof toMatchSnapshot>,
  );
  const outcome = match(value) as {pass: boolean; message: () => string};
  state.save();
  assert.ok(outcome.pass, outcome.pass ? '' : outcome.message());
}

function updateMode(): 'all' | 'new' | 'none' {
  if (process.env['UPDATE_SNAPSHOTS'] === '1') return 'all';
  return process.env['CI'] === 'true' ? 'none' : 'new';
}
