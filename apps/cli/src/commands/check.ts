import {checkResponseSchema} from '@verbenabeam/admin-api';
import type {Command} from '../command.js';
import {readDocument} from '../read-document.js';

/** `verbenabeam check FILE` */
export const checkCommand: Command = {
  usage: 'check <file>',
  text: 'Check a document without submitting it',
  options: [],
  async run({client, args}) {
    const text = readDocument(args[0] ?? '');
    if (text.isErr) return text.cast();
    const res = await client.send({
      method: 'POST',
      path: '/v1/documents/check',
      body: {document: text.value},
      schema: checkResponseSchema,
    });
    return res.map(data => ({
      data,
      lines: [
        `valid: ${data.services} services, ${data.routes} routes, ` +
          `${data.moves} moves, hash ${data.hash}`,
      ],
    }));
  },
};
