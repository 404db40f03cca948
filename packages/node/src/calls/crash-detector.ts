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
  #probing = false;

  constructor(ports: Pick<ServingPorts, 'upstream' | 'quarantine'>) {
    this.#ports = ports;
  }

  /** Takes a request whose connection was lost. */
  onLost(request: LostRequest, upstream: OwnUpstream): void {
    this.#lost.push(request);
    if (this.#probing) return;
    this.#probing = true;
    const [host, port] = upstream.address.split(':');
    const socket = net.connect({host, port: Number(port)});
    socket.setTimeout(probeTimeoutMs);
    const decide = (died: boolean) => {
      if (!this.#probing) return;
      this.#probing = false;
      socket.destroy();
      this.#decide(died, upstream);
    };
    socket.once('connect', () => {
      decide(false);
    });
    socket.once('error', () => {
      decide(true);
    });
    socket.once('timeout', () => {
      decide(true);
    });
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
