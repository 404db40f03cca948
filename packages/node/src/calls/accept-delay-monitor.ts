import net from 'node:net';
import {logger} from '@verbenabeam/core';
import {runPeriodically} from '../run-periodically.js';

const defaultEveryMs = 1_000;
/** Waits of at least this time are logged, in ms. */
const longWaitMs = 100;
const log = logger('accept');

/** Options of {@link AcceptDelayMonitor}. @internal */
export interface AcceptDelayMonitorOptions {
  /** Clock in ms; default `performance.now`. */
  readonly now?: () => number;
  /** Time between two measurements, in ms; default 1,000. */
  readonly everyMs?: number;
}

/** A connection that the monitor opened and that is not accepted yet. */
interface Probe {
  readonly socket: net.Socket;
  readonly openedAt: number;
  /** Connections that were accepted before the local port of the probe was known. */
  readonly accepted: {socket: net.Socket; at: number}[];
}

/**
 * Measures how long connections of callers wait to be accepted. Node.js accepts
 * one connection in each event loop turn and does not report how many wait. The
 * monitor therefore opens a probe connection, which queues behind them.
 *
 * @internal
 */
export class AcceptDelayMonitor {
  readonly #server: net.Server;
  readonly #now: () => number;
  readonly #everyMs: number;
  #probe: Probe | null = null;
  #lastMs = 0;
  #isLastLong = false;

  constructor(
    server: net.Server,
    {now, everyMs}: AcceptDelayMonitorOptions = {},
  ) {
    this.#server = server;
    this.#now = now ?? (() => performance.now());
    this.#everyMs = everyMs ?? defaultEveryMs;
    server.on('connection', socket => this.#onConnection(socket));
  }

  /** Estimated wait of a connection that is accepted now, in ms. */
  get waitMs(): number {
    if (!this.#probe) return this.#lastMs;
    return Math.max(this.#lastMs, this.#now() - this.#probe.openedAt);
  }

  /** Measures periodically while the server listens, until the signal aborts. */
  start(signal: AbortSignal): void {
    runPeriodically(this.#everyMs, signal, () => this.#openProbe());
  }

  #openProbe(): void {
    const address = this.#server.address();
    if (this.#probe || !address || typeof address === 'string') return;
    const {port, address: host} = address;
    const socket = net.connect({port, host});
    const probe: Probe = {socket, openedAt: this.#now(), accepted: []};
    this.#probe = probe;
    socket.on('connect', () => this.#onConnected(probe));
    socket.on('error', err =>
      log('Accept delay probe failed.', {reason: err.message}),
    );
    socket.on('close', () => {
      if (this.#probe === probe) this.#probe = null;
    });
  }

  #onConnection(socket: net.Socket): void {
    const probe = this.#probe;
    if (!probe) return;
    if (probe.socket.connecting) probe.accepted.push({socket, at: this.#now()});
    else this.#endIfProbe(probe, socket, this.#now());
  }

  #onConnected(probe: Probe): void {
    for (const {socket, at} of probe.accepted.splice(0)) {
      this.#endIfProbe(probe, socket, at);
    }
  }

  /** Ends the measurement if the accepted connection is the probe. */
  #endIfProbe(probe: Probe, accepted: net.Socket, at: number): void {
    if (accepted.remotePort !== probe.socket.localPort) return;
    this.#recordWait(at - probe.openedAt);
    this.#probe = null;
    accepted.destroy();
    probe.socket.destroy();
  }

  #recordWait(waitedMs: number): void {
    this.#lastMs = waitedMs;
    const isLong = waitedMs >= longWaitMs;
    if (isLong) {
      const ms = Math.round(waitedMs);
      log('Connections wait to be accepted.', {ms});
    } else if (this.#isLastLong) {
      log('Connections are accepted without delay again.');
    }
    this.#isLastLong = isLong;
  }
}
