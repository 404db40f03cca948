import type {VersionMeta} from '@verbenabeam/admin-api';
import type {CommandOutput} from './command.js';

/** Output of the commands that make a new version. */
export function describeAccepted(
  environment: string,
  meta: VersionMeta,
): CommandOutput {
  return {
    data: meta,
    lines: [
      `accepted: ${environment} version ${meta.version}, hash ${meta.hash}`,
    ],
  };
}
