import {defineCodes} from './define-codes.js';

/** Codes 10xx: settings of the daemons. @public */
export const SETTINGS_CODES = defineCodes('settings', {
  invalid: {
    code: 1001,
    exit: 10,
    http: 400,
    text: 'A settings file has an unknown key, a wrong type or a wrong unit.',
  },
  conflicting: {
    code: 1002,
    exit: 10,
    http: 400,
    text: 'Two settings contradict each other.',
  },
  unreadable: {
    code: 1003,
    exit: 10,
    http: 400,
    text: 'The settings file cannot be read or is not TOML.',
  },
});
