import {callRecordSchema} from '@verbenabeam/admin-api';
import type {CallRecord} from '@verbenabeam/admin-api';
import {ACCESS_CODES, findCode, MeshError} from '@verbenabeam/core';
import {Result} from 'true-myth';
import type {Command, CommandOutput} from '../command.js';
import {formatTime, table} from '../format.js';
import {readLogEvents} from '../read-log-events.js';
import type {FoundEvents} from '../read-log-events.js';

const durationDigits = 2;
const timeDigits = 3;
const msPerSecond = 1_000;
/** Fields of a log line that say nothing about a call. */
const hiddenFields: ReadonlySet<string> = new Set(['level', 'pid', 'hostname']);

/** `verbenabeam explain CALL [LOG...]` */
export const explainCommand: Command = {
  usage: 'explain <call> [...logs]',
  text: 'Explain one call by its id, from live nodes or from log files (-: input)',
  options: [],
  async run({client, args}) {
    const [call = '', ...logs] = args;
    if (logs.length > 0) return explainFromLogs(call, logs);
    const res = await client.send({
      method: 'GET',
      path: `/v1/calls/${encodeURIComponent(call)}`,
      schema: callRecordSchema,
    });
    return res.map(data => ({data, lines: render(data)}));
  },
};

/** The path of a call over the nodes, as a time line. */
async function explainFromLogs(
  callId: string,
  paths: readonly string[],
): Promise<Result<CommandOutput, MeshError>> {
  const read = await readLogEvents(callId, paths);
  return read.andThen(found => {
    const {events, lines, malformed} = found;
    if (events.length > 0) {
      return Result.ok({data: {callId, ...found}, lines: renderEvents(found)});
    }
    const message = `none of ${lines} lines is about call "${callId}"`;
    const details = malformed.length > 0 ? {malformed} : {};
    return Result.err(
      new MeshError(ACCESS_CODES.unknownCall, message, details),
    );
  });
}

function renderEvents({events, malformed}: FoundEvents): string[] {
  const startAt = events[0]?.time ?? 0;
  const rows = events.map(event => {
    const {time, node, part, requestId = '', msg, ...fields} = event;
    const seconds = ((time - startAt) / msPerSecond).toFixed(timeDigits);
    return [`+${seconds}`, node, part, requestId, describe(msg, fields)];
  });
  return [
    `first line at ${formatTime(startAt)}; times are those of the nodes' clocks`,
    ...table(['SECONDS', 'NODE', 'PART', 'CALL', 'WHAT'], rows),
    ...malformed.map(place => `${place} is no log line`),
  ];
}

function describe(msg: string, fields: Readonly<Record<string, unknown>>) {
  const shown = Object.entries(fields)
    .filter(([name]) => !hiddenFields.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return [msg, ...shown].join(' ');
}

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
