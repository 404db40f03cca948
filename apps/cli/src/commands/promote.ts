import {versionMetaSchema} from '@verbenabeam/admin-api';
import type {Command} from '../command.js';
import {describeAccepted} from '../describe-accepted.js';
import {readOptionalVersion, readVersion} from '../read-version.js';

const defaultSource = 'trial';

/** `verbenabeam promote VERSION` */
export const promoteCommand: Command = {
  usage: 'promote <version>',
  text: 'Promote a version of the trial environment',
  options: [
    {name: '--from <environment>', text: 'Source environment (trial)'},
    {
      name: '--base <version>',
      text: 'Accept only if this version of the target is the latest',
    },
  ],
  async run({cfg, client, args, options}) {
    const version = readVersion('version', args[0]);
    if (version.isErr) return version.cast();
    const base = readOptionalVersion('--base', options['base']);
    if (base.isErr) return base.cast();
    const res = await client.send({
      method: 'POST',
      path: `/v1/environments/${encodeURIComponent(cfg.environment)}/promote`,
      body: {
        from: options['from'] ?? defaultSource,
        version: version.value,
        author: cfg.author,
        base: base.value,
      },
      schema: versionMetaSchema,
    });
    return res.map(meta => describeAccepted(cfg.environment, meta));
  },
};
