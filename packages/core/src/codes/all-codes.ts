import type {ResultCode} from '../result-code.js';
import {ACCESS_CODES} from './access.js';
import {CALL_CODES} from './calls.js';
import {CLAIM_CODES} from './claims.js';
import {DOCUMENT_CODES} from './document.js';
import {INVARIANT_CODES} from './invariants.js';
import {MEMBERSHIP_CODES} from './membership.js';
import {MOVE_CODES} from './moves.js';
import {SETTINGS_CODES} from './settings.js';
import {STORE_CODES} from './store.js';
import {VERSION_CODES} from './versions.js';
import {WIRE_CODES} from './wire.js';

/** Every result code, in ascending order. @public */
export const ALL_CODES: readonly ResultCode[] = [
  SETTINGS_CODES,
  DOCUMENT_CODES,
  VERSION_CODES,
  STORE_CODES,
  WIRE_CODES,
  MEMBERSHIP_CODES,
  CALL_CODES,
  CLAIM_CODES,
  MOVE_CODES,
  ACCESS_CODES,
  INVARIANT_CODES,
]
  .flatMap(area => Object.values<ResultCode>(area))
  .sort((a, b) => a.code - b.code);

/** Finds a code by its number. @public */
export function findCode(code: number): ResultCode | undefined {
  return ALL_CODES.find(row => row.code === code);
}
