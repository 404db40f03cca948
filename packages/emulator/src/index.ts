/**
 * Emulator of a fleet under load, in simulated time.
 *
 * @packageDocumentation
 */
export {FAULT_KINDS} from './day.js';
export type {Day, DayFault, DayKind} from './day.js';
export {emulate} from './emulation.js';
export type {EmulateOptions, Figures} from './emulation.js';
export {plotFigures} from './plot.js';
export {fullPolicy} from './policy.js';
export type {Policy} from './policy.js';
export {parseDay, readDay} from './read-day.js';
export type {Counts, RouteFigures, WindowFigures} from './tally.js';
