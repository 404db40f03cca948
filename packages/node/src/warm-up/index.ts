export {WARM_UP_KINDS, warmUpHost, warmUpService} from './warm-up-document.js';
export type {WarmUpHeaders, WarmUpSample} from './warm-up-sample.js';
export {WarmUp} from './warm-up.js';
export type {WarmUpOptions} from './warm-up.js';
