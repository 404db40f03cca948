/**
 * Test support: snapshots, a certificate, and the seed of a run.
 *
 * @packageDocumentation
 */
export {matchSnapshot} from './match-snapshot.js';
export type {SnapshotOptions} from './match-snapshot.js';
export {testSeed} from './seed.js';
export {testTls} from './test-certificate.js';
