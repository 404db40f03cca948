import {randomUUID} from 'node:crypto';

/** Returns a new unique id, for calls, operations and processes. @public */
export function newId(): string {
  return randomUUID();
}
