import net from 'node:net';
import {logger} from '@verbenabeam/core';
import type {LostRequest, OwnUpstream, ServingPorts} from './serving-ports.js';

const probeTimeoutMs = 200;
const log = logger('serving');

/**
 * Decides whether the upstream crashed after a connection to it was lost. If it
 * refuses a new connection, it is marked as down, and the requests whose connections
 * were lost are passed to the quarantine.
 *
 * @internal
 */
export class CrashDetector {
  readonly #ports: Pick<ServingPorts, 'upstream' | 'quarantine'>;
  #lost: LostRequest[] = [];
  #probeResult: Promise<boolean> | null = null;

  constructor(ports: Pick<ServingPorts, 'upstream' | 'quarantine'>) {
    this.#ports = ports;
  }

  /**
   * Handles a request whose connection was lost.
   *
   * @returns Whether the upstream crashed.
   */
  onLost(request: LostRequest, upstream: OwnUpstream): Promise<boolean> {
    this.#lost.push(request);
    this.#probeResult ??= refusesConnections(upstream).then(died => {
      this.#probeResult = null;
      this.#decide(died, upstream);
      return died;
    });
    return this.#probeResult;
  }

  #decide(died: boolean, {address}: OwnUpstream): void {
    const lost = this.#lost;
    this.#lost = [];
    log('Upstream connection lost', {address, died, requests: lost.length});
    if (!died) return;
    this.#ports.upstream.markDown(
      'It refuses connections after a connection was lost',
    );
    this.#ports.quarantine.crashed(lost);
  }
}

/** Whether a new connection to the upstream fails. */
function refusesConnections({address}: OwnUpstream): Promise<boolean> {
  const [host, port] = address.split(':');
  const socket = net.connect({host, port: Number(port)});
  socket.setTimeout(probeTimeoutMs);
  return new Promise(resolve => {
    const decide = (refuses: boolean) => {
      socket.destroy();
      resolve(refuses);
    };
    socket.once('connect', () => decide(false));
    socket.once('error', () => decide(true));
    // Timers run before the poll phase: after a stall of this node, the connect
    // event may still be unread.
    socket.once('timeout', () => setImmediate(() => decide(true)));
  });
}
