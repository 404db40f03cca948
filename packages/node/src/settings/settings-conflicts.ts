import type {NodeSettingsFile} from './node-settings.js';
import {parseSocketAddress} from './socket-address.js';

/** Returns a message about conflicting settings, or null. */
type ConflictRule = (file: NodeSettingsFile) => string | null;

const rules: readonly ConflictRule[] = [
  file => duplicateListener(file),
  ({access}) =>
    exactlyOne(
      'access.node_key',
      access.node_key,
      'access.node_key_file',
      access.node_key_file,
    ),
  ({access}) =>
    exactlyOne(
      'access.operator_token',
      access.operator_token,
      'access.operator_token_file',
      access.operator_token_file,
    ),
  ({access}) =>
    access.node_key !== undefined && access.node_key === access.operator_token
      ? 'access.node_key and access.operator_token must differ'
      : null,
];

/**
 * Returns a message about the first conflict between settings, or null.
 *
 * @internal
 */
export function findConflict(file: NodeSettingsFile): string | null {
  for (const rule of rules) {
    const problem = rule(file);
    if (problem !== null) return problem;
  }
  return null;
}

function duplicateListener({listen}: NodeSettingsFile): string | null {
  const seen = new Map<string, string>();
  for (const [name, address] of Object.entries(listen)) {
    const other = seen.get(address);
    const chosenBySystem = parseSocketAddress(address)?.port === 0;
    if (other !== undefined && !chosenBySystem) {
      return `listen.${other} and listen.${name} are both ${address}`;
    }
    seen.set(address, name);
  }
  return null;
}

function exactlyOne(
  firstName: string,
  first: string | undefined,
  secondName: string,
  second: string | undefined,
): string | null {
  if (first !== undefined && second !== undefined) {
    return `set only one of ${firstName} and ${secondName}`;
  }
  if (first === undefined && second === undefined) {
    return `set one of ${firstName} and ${secondName}`;
  }
  return null;
}
