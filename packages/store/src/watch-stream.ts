import {Result} from 'true-myth';
import {request} from 'undici';
import type {Dispatcher} from 'undici';
import {parseJson} from '@verbenabeam/core';
import type {MeshError} from '@verbenabeam/core';
import {decodeEvent, keyRange, watchMessage} from './etcd-codec.js';
import {failureOfTransport} from './etcd-errors.js';
import {readLines} from './read-lines.js';
import type {WatchOptions} from './store.js';
import {unavailable} from './store-errors.js';

/** @internal */
export interface WatchLink {
  readonly dispatcher: Dispatcher;
  readonly endpoint: string;
  /** Time limit until the store confirms the watch. */
  readonly connectTimeoutMs: number;
  /** A stream without data for this long is opened again. */
  readonly idleMs: number;
  readonly onConnected: () => void;
  /** Takes one call from the budget for each new stream. */
  readonly takeCall: () => MeshError | null;
}

type StreamEnd = Result<'aborted' | 'idle', MeshError>;

/**
 * Watches until the signal aborts or the connection fails. A stream without
 * data is opened again after the last revision, because a broken link without a
 * reset is otherwise not noticed.
 *
 * @internal
 */
export async function runWatch(
  options: WatchOptions,
  link: WatchLink,
): Promise<Result<true, MeshError>> {
  const position = {next: options.fromRevision};
  for (;;) {
    const end = await runStream(options, link, position);
    if (end.isErr) return Result.err(end.error);
    if (end.value === 'aborted') return Result.ok(true);
    const refusal = link.takeCall();
    if (refusal) return Result.err(refusal);
  }
}

async function runStream(
  options: WatchOptions,
  link: WatchLink,
  position: {next: number},
): Promise<StreamEnd> {
  const quiet = new AbortController();
  const state = {confirmed: false};
  let timer = setTimeout(() => quiet.abort(), link.connectTimeoutMs);
  const onData = () => {
    clearTimeout(timer);
    timer = setTimeout(() => quiet.abort(), link.idleMs);
  };
  try {
    const res = await request(`${link.endpoint}/v3/watch`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(createRequest(options, position.next)),
      dispatcher: link.dispatcher,
      signal: AbortSignal.any([options.signal, quiet.signal]),
      bodyTimeout: 0,
      headersTimeout: 0,
    });
    for await (const line of readLines(res.body)) {
      onData();
      const error = readLine(line, options, position);
      if (error) return Result.err(error);
      if (!state.confirmed) link.onConnected();
      state.confirmed = true;
    }
    return endOf(options, quiet, state, unavailable('the watch was closed'));
  } catch (err) {
    return endOf(options, quiet, state, failureOfTransport('read', err).error);
  } finally {
    clearTimeout(timer);
    quiet.abort();
  }
}

function endOf(
  options: WatchOptions,
  quiet: AbortController,
  state: {confirmed: boolean},
  error: MeshError,
): StreamEnd {
  if (options.signal.aborted) return Result.ok('aborted');
  if (quiet.signal.aborted && state.confirmed) return Result.ok('idle');
  return Result.err(error);
}

function createRequest(options: WatchOptions, next: number) {
  return {
    create_request: {
      ...keyRange(options.key, options.prefix ?? false),
      ...(next > 0 ? {start_revision: String(next)} : {}),
    },
  };
}

/** Reports the events of one line; returns why the watch cannot continue. */
function readLine(
  line: string,
  options: WatchOptions,
  position: {next: number},
): MeshError | null {
  const parsed = watchMessage.safeParse(parseJson(line));
  if (!parsed.success) return unavailable('unreadable watch message');
  const {result} = parsed.data;
  const {revision} = result.header;
  if (result.canceled) {
    const compacted = result.compact_revision;
    return unavailable('the store ended the watch', {compacted});
  }
  // A restored store would report nothing until it passes the old revision.
  if (result.created && revision + 1 < position.next) {
    const details = {expected: position.next, revision};
    return unavailable('the store went back to an older revision', details);
  }
  for (const event of result.events) {
    options.onEvent(decodeEvent(event));
    // The header may be ahead of the events while past ones are reported.
    position.next = Math.max(position.next, event.kv.mod_revision + 1);
  }
  if (position.next === 0) position.next = revision + 1;
  return null;
}
