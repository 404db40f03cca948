import {versionMetaSchema} from '@verbenabeam/admin-api';
import type {Command} from '../command.js';
import {describeAccepted} from '../describe-accepted.js';
import {readDocument} from '../read-document.js';
import {readOptionalVersion} from '../read-version.js';

/** `verbenabeam submit FILE` */
export const submitCommand: Command = {
  usage: 'submit <file>',
  text: 'Submit a document to an environment',
  options: [
    {
      name: '--base <version>',
      text: 'Accept only if this version is still the latest',
    },
  ],
  async run({cfg, client, args, options}) {
    const text = readDocument(args[0] ?? '');
    if (text.isErr) return text.cast();
    const base = readOptionalVersion('--base', options['base']);
    if (base.isErr) return base.cast();
    const res = await client.send({
      method: 'POST',
      path: `/v1/environments/${encodeURIComponent(cfg.environment)}/submit`,
      body: {document: text.value, author: cfg.author, base: base.value},
      schema: versionMetaSchema,
    });
    return res.map(meta => describeAccepted(cfg.environment, meta));
  },
};
