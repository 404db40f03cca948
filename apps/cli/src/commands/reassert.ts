import {versionMetaSchema} from '@verbenabeam/admin-api';
import type {Command} from '../command.js';
import {describeAccepted} from '../describe-accepted.js';

/** `verbenabeam reassert` */
export const reassertCommand: Command = {
  usage: 'reassert',
  text: 'Accept the active version again after the store was restored',
  options: [],
  async run({cfg, client}) {
    const res = await client.send({
      method: 'POST',
      path: `/v1/environments/${encodeURIComponent(cfg.environment)}/reassert`,
      body: {author: cfg.author},
      schema: versionMetaSchema,
    });
    return res.map(meta => describeAccepted(cfg.environment, meta));
  },
};
