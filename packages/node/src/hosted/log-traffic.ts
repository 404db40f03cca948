import {logger} from '@verbenabeam/core';
import type {PeerBus} from '@verbenabeam/wire';

const log = logger('node');

/** Logs the bytes sent to and received from peers. @internal */
export function logTraffic(bus: PeerBus): void {
  const {call, control} = bus.bytes();
  log('Traffic since the start, in bytes.', {
    callSent: call.sent,
    callReceived: call.received,
    controlSent: control.sent,
    byKind: bus.sentByKind(),
  });
}

/** Bytes of calls to and from other nodes since the start. @internal */
export function callBytesOf(bus: PeerBus): number {
  const {sent, received} = bus.bytes().call;
  return sent + received;
}
