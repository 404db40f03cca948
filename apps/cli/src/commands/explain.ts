import {callRecordSchema} from '@verbenabeam/admin-api';
import type {CallRecord} from '@verbenabeam/admin-api';
import {findCode} from '@verbenabeam/core';
import type {Command} from '../command.js';
import {formatTime, table} from '../format.js';

const durationDigits = 2;

/** `verbenabeam explain CALL` */
export const explainCommand: Command = {
  usage: 'explain <call>',
  text: 'Explain one call by its id: version, route, attempts and result',
  options: [],
  async run({client, args}) {
    const res = await client.send({
      method: 'GET',
      path: `/v1/calls/${encodeURIComponent(args[0] ?? '')}`,
      schema: callRecordSchema,
    });
    return res.map(data => ({data, lines: render(data)}));
  },
};

function render(call: CallRecord): string[] {
  return [
    `call ${call.callId} at ${formatTime(call.startedAt)} by ${call.callerClass}`,
    `${call.method} ${call.path} entered at ${call.entryNodeId}`,
    `route ${call.route ?? '-'}, service ${call.service ?? '-'}, ` +
      `configuration ${call.configVersion}, upstream version ${call.upstreamVersion ?? '-'}`,
    `result ${describeCode(call.code)}, HTTP ${call.status}, ` +
      `${call.durationMs.toFixed(durationDigits)} ms`,
    ...table(
      ['ATTEMPT', 'NODE', 'VERSION', 'RESULT', 'MS'],
      call.attempts.map((attempt, index) => [
        String(index + 1),
        attempt.nodeId,
        attempt.upstreamVersion,
        describeCode(attempt.code),
        attempt.durationMs.toFixed(durationDigits),
      ]),
    ),
  ];
}

function describeCode(code: number): string {
  return `${code} ${findCode(code)?.name ?? 'unknown'}`;
}
