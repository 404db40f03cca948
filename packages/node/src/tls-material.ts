import {readFileSync} from 'node:fs';
import {Result} from 'true-myth';
import {MeshError, SETTINGS_CODES} from '@verbenabeam/core';
import type {WireTls} from '@verbenabeam/wire';
import type {NodeSettings} from './settings/node-settings.js';

/** Reads the TLS files that the settings name; null if TLS is off. */
export function readTls({
  tls,
}: NodeSettings): Result<WireTls | null, MeshError> {
  if (!tls) return Result.ok(null);
  try {
    return Result.ok({
      cert: readFileSync(tls.certificate_file, 'utf8'),
      key: readFileSync(tls.private_key_file, 'utf8'),
      ca: readFileSync(tls.authority_file, 'utf8'),
    });
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    return Result.err(
      new MeshError(SETTINGS_CODES.unreadable, `tls: ${reason}`),
    );
  }
}
