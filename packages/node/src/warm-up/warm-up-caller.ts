import {connect} from 'node:net';
import {newId} from '@verbenabeam/core';
import type {WarmUpHeaders} from './warm-up-headers.js';
import {headerLines} from './header-lines.js';
import {WARM_UP_KINDS, warmUpHost} from './warm-up-document.js';
import type {WarmUpKind} from './warm-up-document.js';

/** A body that comes in several reads. */
const uploadBytes = 65_536;
const upload = Buffer.alloc(uploadBytes, 'a');
/** A call that is not answered by then is given up, in ms. */
const giveUpMs = 2_000;
const headEnd = '\r\n\r\n';

/** Options of {@link callInTurn}. @internal */
export interface WarmUpCalls {
  readonly port: number;
  readonly kind: WarmUpKind;
  /** Calls, one after the other on one connection. */
  readonly count: number;
  readonly sample: WarmUpHeaders;
}

/** Opens a connection, makes calls on it and leaves. @internal */
export function callInTurn(calls: WarmUpCalls): Promise<void> {
  const socket = connect(calls.port, '127.0.0.1');
  let answer = '';
  let left = calls.count;
  const send = () => {
    left--;
    socket.write(requestHead(calls));
    if (calls.kind === WARM_UP_KINDS.upload) socket.write(upload);
  };
  return new Promise(resolve => {
    socket.setTimeout(giveUpMs, () => socket.destroy());
    socket.on('connect', send);
    socket.on('data', data => {
      answer += data.toString('latin1');
      if (!isWhole(answer)) return;
      answer = '';
      if (left > 0) send();
      else socket.destroy();
    });
    // The end of a connection ends its calls, whatever the reason.
    socket.on('error', () => socket.destroy());
    socket.on('close', () => resolve());
  });
}

function requestHead({kind, sample}: WarmUpCalls): string {
  const isUpload = kind === WARM_UP_KINDS.upload;
  const callId = newId();
  const length = isUpload ? `content-length: ${uploadBytes}\r\n` : '';
  const headers = headerLines(sample.request(callId));
  return (
    `${isUpload ? 'POST' : 'GET'} /${kind}/${callId} HTTP/1.1\r\n` +
    `host: ${warmUpHost}\r\n${headers}${length}\r\n`
  );
}

function isWhole(answer: string): boolean {
  const end = answer.indexOf(headEnd);
  if (end < 0) return false;
  const length = /content-length: *(\d+)/i.exec(answer)?.[1] ?? '0';
  return answer.length >= end + headEnd.length + Number(length);
}
