import net from 'node:net';
import {logger} from '@verbenabeam/core';
import {runPeriodically} from '../run-periodically.js';

const defaultEveryMs = 1_000;
/** Longer waits are logged, in ms. */
const longMs = 100;
const log = logger('accept');

/** Options of {@link AcceptDelayMonitor}. @internal */
export interface AcceptDelayMonitorOptions {
  /** Clock in ms; default `performance.now`. */
  readonly now?: () => number;
  /** Time between two measurements, in ms; default 1,000. */
  readonly everyMs?: number;
}

/** A connection of the watch that has not been accepted yet. */
interface Probe {
  readonly socket: net.Socket;
  readonly openedAt: number;
  /** Connections that were accepted before the own port was known. */
  readonly accepted: {socket: net.Socket; at: number}[];
}

/**
 * Measures how long connections of callers wait to be accepted. Node.js accepts
 * one in each turn of the event loop and does not tell how many wait, so the watch
 * opens a connection of its own that waits behind them.
 *
 * @internal
 */
export class AcceptDelayMonitor {
  readonly #server: net.Server;
  readonly #now: () => number;
  readonly #everyMs: number;
  #probe: Probe | null = null;
  #lastMs = 0;
  #isLong = false;

  constructor(
    server: net.Server,
    {now, everyMs}: AcceptDelayMonitorOptions = {},
  ) {
    this.#server = server;
    this.#now = now ?? (() => performance.now());
    this.#everyMs = everyMs ?? defaultEveryMs;
    server.on('connection', socket => this.#onConnection(socket));
  }

  /** Time that a connection which is accepted now may have waited, in ms. */
  get waitMs(): number {
    if (!this.#probe) return this.#lastMs;
    return Math.max(this.#lastMs, this.#now() - this.#probe.openedAt);
  }

  /** Measures until the signal aborts, while the server listens. */
  start(signal: AbortSignal): void {
    runPeriodically(this.#everyMs, signal, () => this.#open());
  }

  #open(): void {
    const address = this.#server.address();
    if (this.#probe || !address || typeof address === 'string') return;
    const {port, address: host} = address;
    const socket = net.connect({port, host});
    const probe: Probe = {socket, openedAt: this.#now(), accepted: []};
    this.#probe = probe;
    socket.on('connect', () => this.#onConnected(probe));
    socket.on('error', err => log('Probe failed.', {reason: err.message}));
    socket.on('close', () => {
      if (this.#probe === probe) this.#probe = null;
    });
  }

  #onConnection(socket: net.Socket): void {
    const probe = this.#probe;
    if (!probe) return;
    if (probe.socket.connecting) probe.accepted.push({socket, at: this.#now()});
    else this.#compare(probe, socket, this.#now());
  }

  #onConnected(probe: Probe): void {
    for (const {socket, at} of probe.accepted.splice(0)) {
      this.#compare(probe, socket, at);
    }
  }

  /** Ends the measurement if the accepted connection is that of the probe. */
  #compare(probe: Probe, accepted: net.Socket, at: number): void {
    if (accepted.remotePort !== probe.socket.localPort) return;
    this.#note(at - probe.openedAt);
    this.#probe = null;
    accepted.destroy();
    probe.socket.destroy();
  }

  #note(waitedMs: number): void {
    this.#lastMs = waitedMs;
    const isLong = waitedMs >= longMs;
    if (isLong) {
      const ms = Math.round(waitedMs);
      log('Connections wait to be accepted.', {ms});
    } else if (this.#isLong) {
      log('Connections are accepted at once again.');
    }
    this.#isLong = isLong;
  }
}
