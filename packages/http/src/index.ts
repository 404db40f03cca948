/**
 * Connections of HTTP clients, with limits on what a response may have beside its
 * body.
 *
 * @packageDocumentation
 */
export {endedByReset} from './ended-by-reset.js';
export {createMeteredAgent} from './metered-agent.js';
export type {ReadGate} from './read-gate.js';
export {ResponseMeter} from './response-meter.js';
export {ResponseSockets} from './response-sockets.js';
