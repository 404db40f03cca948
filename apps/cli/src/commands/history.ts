import {historyResponseSchema} from '@verbenabeam/admin-api';
import type {VersionMeta} from '@verbenabeam/admin-api';
import type {Command} from '../command.js';
import {formatTime, table} from '../format.js';

/** `verbenabeam history` */
export const historyCommand: Command = {
  usage: 'history',
  text: 'List the accepted versions of an environment, newest first',
  options: [],
  async run({cfg, client}) {
    const res = await client.send({
      method: 'GET',
      path: `/v1/environments/${encodeURIComponent(cfg.environment)}/history`,
      schema: historyResponseSchema,
    });
    return res.map(data => ({
      data,
      lines: table(
        ['VERSION', 'ACCEPTED', 'AUTHOR', 'HASH', 'PROMOTED FROM'],
        data.versions.map(historyRow),
      ),
    }));
  },
};

function historyRow(meta: VersionMeta): string[] {
  const source = meta.promotedFrom;
  return [
    String(meta.version),
    formatTime(meta.acceptedAt),
    meta.author,
    meta.hash,
    source ? `${source.environment} ${source.version}` : '-',
  ];
}
