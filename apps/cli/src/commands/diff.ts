import {diffResponseSchema} from '@verbenabeam/admin-api';
import type {Command} from '../command.js';
import {readVersion} from '../read-version.js';

/** `verbenabeam diff FROM TO` */
export const diffCommand: Command = {
  usage: 'diff <from> <to>',
  text: 'Show what differs between two versions of an environment',
  options: [],
  async run({cfg, client, args}) {
    const from = readVersion('from', args[0]);
    if (from.isErr) return from.cast();
    const to = readVersion('to', args[1]);
    if (to.isErr) return to.cast();
    const environment = encodeURIComponent(cfg.environment);
    const res = await client.send({
      method: 'GET',
      path: `/v1/environments/${environment}/diff?from=${from.value}&to=${to.value}`,
      schema: diffResponseSchema,
    });
    return res.map(data => ({
      data,
      lines: data.changes.length > 0 ? data.changes : ['no differences'],
    }));
  },
};
