import {connect} from 'node:net';
import {newId} from '@verbenabeam/core';
import type {WarmUpHeaders} from './warm-up-sample.js';
import {headerLines} from './header-lines.js';
import {WARM_UP_KINDS, warmUpHost} from './warm-up-document.js';
import type {WarmUpKind} from './warm-up-document.js';

/** Large enough that the receiver reads the body in several chunks. */
const uploadBytes = 65_536;
const upload = Buffer.alloc(uploadBytes, 'a');
/** Socket inactivity after which the connection is closed, in ms. */
const callTimeoutMs = 2_000;
const headEnd = '\r\n\r\n';

/** A connection of {@link makeCalls} and its calls. @internal */
export interface WarmUpConnection {
  readonly port: number;
  readonly kind: WarmUpKind;
  /** Number of calls, made one after the other. */
  readonly count: number;
  readonly headers: WarmUpHeaders;
  /** Selects the headers of its requests. */
  readonly variant: number;
}

/** Opens a connection, makes its calls and closes it. @internal */
export function makeCalls(connection: WarmUpConnection): Promise<void> {
  const socket = connect(connection.port, '127.0.0.1');
  let response = '';
  let remaining = connection.count;
  const send = () => {
    remaining--;
    socket.write(requestHead(connection));
    if (connection.kind === WARM_UP_KINDS.upload) socket.write(upload);
  };
  return new Promise(resolve => {
    socket.setTimeout(callTimeoutMs, () => socket.destroy());
    socket.on('connect', send);
    socket.on('data', data => {
      response += data.toString('latin1');
      if (!isComplete(response)) return;
      response = '';
      if (remaining > 0) send();
      else socket.destroy();
    });
    // If the connection fails, its remaining calls are skipped and the promise
    // still resolves; the warm-up does not need the reason.
    socket.on('error', () => socket.destroy());
    socket.on('close', () => resolve());
  });
}

function requestHead({kind, headers, variant}: WarmUpConnection): string {
  const isUpload = kind === WARM_UP_KINDS.upload;
  const callId = newId();
  const length = isUpload ? `content-length: ${uploadBytes}\r\n` : '';
  const lines = headerLines(headers.request(callId, variant));
  return (
    `${isUpload ? 'POST' : 'GET'} /${kind}/${callId} HTTP/1.1\r\n` +
    `host: ${warmUpHost}\r\n${lines}${length}\r\n`
  );
}

function isComplete(response: string): boolean {
  const end = response.indexOf(headEnd);
  if (end < 0) return false;
  const length = /content-length: *(\d+)/i.exec(response)?.[1] ?? '0';
  return response.length >= end + headEnd.length + Number(length);
}
