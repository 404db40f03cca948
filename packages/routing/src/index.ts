/**
 * Decisions on calls: instance, admission, retries, quarantine.
 *
 * @packageDocumentation
 */
export type {LoadReport} from './load-report.js';
