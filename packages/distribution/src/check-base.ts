import {Result} from 'true-myth';
import {MeshError, VERSION_CODES} from '@verbenabeam/core';
import type {FleetView} from './distributor-options.js';
import type {HeadRecord} from './store-records.js';

/**
 * Refuses a change on a store that disagrees with the fleet: a version number
 * would be given twice. Errors: 1204, 1205, 1210.
 *
 * @internal
 */
export function checkBase(
  head: HeadRecord | null,
  fleet: FleetView | 'unknown' | null,
): Result<HeadRecord | null, MeshError> {
  if (fleet === null) return Result.ok(head);
  if (fleet === 'unknown') return Result.err(notReady());
  const version = head?.version ?? 0;
  if (version < fleet.version) {
    const code = VERSION_CODES.storeOlder;
    const details = {store: version, fleet: fleet.version};
    return Result.err(new MeshError(code, code.text, details));
  }
  const {active} = fleet;
  if (head && version === active.version && head.hash !== active.hash) {
    const code = VERSION_CODES.hashMismatch;
    const details = {version, store: head.hash, active: active.hash};
    return Result.err(new MeshError(code, code.text, details));
  }
  return Result.ok(head);
}

/** The error before the start inquiry is complete. @internal */
export function notReady(): MeshError {
  const code = VERSION_CODES.notReady;
  return new MeshError(code, code.text);
}
