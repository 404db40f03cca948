import {defineCodes} from './define-codes.js';

/** Codes 11xx: the operators' document. @public */
export const DOCUMENT_CODES = defineCodes('document', {
  syntax: {
    code: 1101,
    exit: 11,
    http: 400,
    text: 'The document is not valid TOML.',
  },
});
