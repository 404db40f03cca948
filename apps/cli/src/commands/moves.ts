import {moveStatusSchema, movesResponseSchema} from '@verbenabeam/admin-api';
import type {MoveStatus} from '@verbenabeam/admin-api';
import type {Command} from '../command.js';
import {formatShare, formatTime, table} from '../format.js';

/** `verbenabeam moves` */
export const movesCommand: Command = {
  usage: 'moves',
  text: 'Show each move: share, evidence, deadline and outcome',
  options: [],
  async run({client}) {
    const res = await client.send({
      method: 'GET',
      path: '/v1/moves',
      schema: movesResponseSchema,
    });
    return res.map(data => ({data, lines: data.moves.flatMap(renderMove)}));
  },
};

/** `verbenabeam take-back MOVE` */
export const takeBackCommand: Command = {
  usage: 'take-back <move>',
  text: 'Take a move back by hand',
  options: [],
  async run({client, cfg, args}) {
    const move = encodeURIComponent(args[0] ?? '');
    const res = await client.send({
      method: 'POST',
      path: `/v1/moves/${move}/take-back`,
      body: {author: cfg.author},
      schema: moveStatusSchema,
    });
    return res.map(data => ({data, lines: renderMove(data)}));
  },
};

function renderMove(move: MoveStatus): string[] {
  const heading =
    `${move.moveId}: ${move.service} ${move.from} -> ${move.to}, ` +
    `${move.state}, share ${formatShare(move.share)}, step ${move.step}, ` +
    `deadline ${formatTime(move.deadlineAt)}`;
  const reason = move.reason ? [`  reason: ${move.reason}`] : [];
  const stopped = move.stoppedHere
    ? ['  stopped: this node sends no calls to the new version']
    : [];
  const evidence = table(
    ['  ROUTE', 'OLD CALLS', 'OLD FAILURES', 'NEW CALLS', 'NEW FAILURES'],
    move.evidence.map(row => [
      `  ${row.route}`,
      String(row.oldCalls),
      String(row.oldFailures),
      String(row.newCalls),
      String(row.newFailures),
    ]),
  );
  return [heading, ...reason, ...stopped, ...evidence];
}
