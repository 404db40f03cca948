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
