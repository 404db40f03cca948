import {statusResponseSchema} from '@verbenabeam/admin-api';
import type {NodeStatus, StatusResponse} from '@verbenabeam/admin-api';
import type {Command} from '../command.js';
import {table} from '../format.js';

/** `verbenabeam status` */
export const statusCommand: Command = {
  usage: 'status',
  text: 'Show which version each node holds, and why one lags',
  options: [],
  async run({client}) {
    const res = await client.send({
      method: 'GET',
      path: '/v1/status',
      schema: statusResponseSchema,
    });
    return res.map(data => ({data, lines: render(data)}));
  },
};

function render(status: StatusResponse): string[] {
  const lagging = status.nodes.filter(node => node.lagReason !== null);
  return [
    `environment ${status.environment}, version ${status.configVersion}, ` +
      `${status.nodes.length} nodes, ${lagging.length} lagging`,
    `store ${status.storeReachable ? 'reachable' : 'unreachable'}`,
    ...status.alarms.map(a => `alarm ${a.code} ${a.name}: ${a.message}`),
    ...table(
      ['NODE', 'DATA CENTRE', 'STATE', 'UPSTREAM', 'VERSION', 'LAG'],
      status.nodes.map(nodeRow),
    ),
  ];
}

function nodeRow(node: NodeStatus): string[] {
  const upstream = node.service
    ? `${node.service} ${node.upstreamVersion ?? '?'} (${node.upstreamState ?? '?'})`
    : '-';
  return [
    node.relay ? `${node.nodeId} (relay)` : node.nodeId,
    node.dataCentre,
    node.state,
    upstream,
    String(node.configVersion),
    node.lagReason ?? '-',
  ];
}
