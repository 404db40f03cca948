import {confirmRestoreResponseSchema} from '@verbenabeam/admin-api';
import type {Command} from '../command.js';

/** `verbenabeam confirm-restore` */
export const confirmRestoreCommand: Command = {
  usage: 'confirm-restore',
  text: 'Grant idempotency keys again after the store was restored',
  options: [],
  async run({cfg, client}) {
    const res = await client.send({
      method: 'POST',
      path: '/v1/store/confirm-restore',
      body: {author: cfg.author},
      schema: confirmRestoreResponseSchema,
    });
    return res.map(data => ({
      data,
      lines: ['confirmed: idempotency keys are granted again'],
    }));
  },
};
