import net from 'node:net';
import {logger} from '@verbenabeam/core';
import type {LostRequest, OwnUpstream, ServingPorts} from './serving-ports.js';

const probeTimeoutMs = 200;
const log = logger('serving');

/**
 * Decides after a lost connection whether the upstream died: it then refuses
 * connections. The requests that were lost with it become suspects.
 *
 * @internal
 */
export class CrashDetector {
  readonly #ports: Pick<ServingPorts, 'upstream' | 'quarantine'>;
  #lost: LostRequest[] = [];
  #probe: Promise<boolean> | null = null;

  constructor(ports: Pick<ServingPorts, 'upstream' | 'quarantine'>) {
    this.#ports = ports;
  }

  /**
   * Takes a request whose connection was lost.
   *
   * @returns Whether the upstream died.
   */
  onLost(request: LostRequest, upstream: OwnUpstream): Promise<boolean> {
    this.#lost.push(request);
    this.#probe ??= refusesConnections(upstream).then(died => {
      this.#probe = null;
      this.#decide(died, upstream);
      return died;
    });
    return this.#probe;
  }

  #decide(died: boolean, {address}: OwnUpstream): void {
    const lost = this.#lost;
    this.#lost = [];
    log('Upstream connection lost', {address, died, requests: lost.length});
    if (!died) return;
    this.#ports.upstream.markDown('It refuses connections after a loss');
    this.#ports.quarantine.crashed(lost);
  }
}

/** Whether the upstream takes no connection. */
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
    // Timers come before the poll: a late node has not read the connect yet.
    socket.once('timeout', () => setImmediate(() => decide(true)));
  });
}
