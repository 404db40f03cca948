export type {CallSample} from './call-sample.js';
export {WarmUp} from './warm-up.js';
export type {WarmUpOptions} from './warm-up.js';
