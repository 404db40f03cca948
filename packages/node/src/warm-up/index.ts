export type {WarmUpHeaders} from './warm-up-headers.js';
export {WarmUp} from './warm-up.js';
export type {WarmUpOptions} from './warm-up.js';
