import {defineCodes} from './define-codes.js';

/** Codes 11xx: the operators' document. @public */
export const DOCUMENT_CODES = defineCodes('document', {
  syntax: {
    code: 1101,
    exit: 11,
    http: 400,
    text: 'The document is not valid TOML.',
  },
  tooLarge: {
    code: 1102,
    exit: 11,
    http: 413,
    text: 'The document exceeds the size limit.',
  },
  unknownKey: {
    code: 1103,
    exit: 11,
    http: 400,
    text: 'The document has a key that has no meaning there.',
  },
  wrongType: {
    code: 1104,
    exit: 11,
    http: 400,
    text: 'A value of the document has a wrong type or form.',
  },
  wrongUnit: {
    code: 1105,
    exit: 11,
    http: 400,
    text: 'A duration of the document lacks a unit or has an unknown one.',
  },
  missingKey: {
    code: 1106,
    exit: 11,
    http: 400,
    text: 'The document lacks a required key.',
  },
  unknownService: {
    code: 1107,
    exit: 11,
    http: 400,
    text: 'A route or move names a service that does not exist.',
  },
  unknownVersion: {
    code: 1108,
    exit: 11,
    http: 400,
    text: 'A service or move names a version that is not listed.',
  },
  secondMove: {
    code: 1109,
    exit: 11,
    http: 400,
    text: 'A service has more than one move.',
  },
  duplicateName: {
    code: 1110,
    exit: 11,
    http: 400,
    text: 'A name occurs twice.',
  },
  deadlinePast: {
    code: 1111,
    exit: 11,
    http: 400,
    text: 'The deadline of a move has passed at acceptance.',
  },
  deadlineBeforeStart: {
    code: 1112,
    exit: 11,
    http: 400,
    text: 'The deadline of a move is not after its start.',
  },
  moveToCurrent: {
    code: 1113,
    exit: 11,
    http: 400,
    text: 'A move leads to the current version of its service.',
  },
  deltaBaseMismatch: {
    code: 1114,
    exit: 11,
    http: 409,
    text: 'A delta was made for another base text.',
  },
  deltaResultMismatch: {
    code: 1115,
    exit: 11,
    http: 409,
    text: 'A delta does not yield the announced text.',
  },
});
