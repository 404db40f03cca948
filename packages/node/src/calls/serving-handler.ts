import {INVARIANT_CODES, MeshError, WIRE_CODES} from '@verbenabeam/core';
import type {ByteStream, StreamHandler} from '@verbenabeam/wire';
import {decodeCallHead} from './call-head.js';
import type {CallHead} from './call-head.js';
import {CrashDetector} from './crash-detector.js';
import type {LocalServing} from './entry-ports.js';
import {InFlightCounter} from './in-flight-counter.js';
import {ServingCall} from './serving-call.js';
import type {ServingContext} from './serving-context.js';
import type {ServingPorts} from './serving-ports.js';
import {CallScheduler} from './call-scheduler.js';
import {UpstreamPool} from './upstream-pool.js';

/**
 * Handles calls on the serving node. Accepts calls from entry nodes, this node
 * included, and forwards the admitted ones to the upstream of this node.
 *
 * @public
 */
export class ServingHandler implements LocalServing {
  readonly #ports: ServingPorts;
  readonly #pool = new UpstreamPool();
  readonly #inFlight = new InFlightCounter();
  readonly #running = new Set<string>();
  readonly #context: ServingContext;
  #draining = false;

  constructor(ports: ServingPorts) {
    this.#ports = ports;
    this.#context = {
      ports,
      pool: this.#pool,
      scheduler: ports.scheduler ?? new CallScheduler(),
      crashDetector: new CrashDetector(ports),
      running: this.#running,
      isDraining: () => this.#draining,
      onEnd: () => {
        this.#inFlight.leave();
      },
    };
  }

  /** Calls that have not ended. */
  get inFlight(): number {
    return this.#inFlight.count;
  }

  /** Responses of the upstream that were given up over a limit. */
  get responsesExceeded(): number {
    return this.#pool.sockets.exceeded;
  }

  /** Connections of the upstream that ended by a reset. */
  get resetEnds(): number {
    return this.#pool.sockets.resetEnds;
  }

  /** Handler for `PeerBus.onStream(CALL_STREAM, ...)`. */
  readonly onStream: StreamHandler = (value, stream) => {
    const head = decodeCallHead(value);
    if (head) this.serve(head, stream);
    else {
      const message = 'The head of the call is malformed';
      stream.reset(new MeshError(WIRE_CODES.unexpectedFrame, message));
    }
  };

  isRunning(callId: string): boolean {
    return this.#running.has(callId);
  }

  serve(head: CallHead, stream: ByteStream): void {
    this.#inFlight.enter();
    new ServingCall(head, stream, this.#context).start();
  }

  /** Refuses new calls and resolves when no call is in flight. */
  async drain(): Promise<void> {
    this.#draining = true;
    await this.#inFlight.whenEmpty();
  }

  /** Closes the connections to the upstream. Call `drain` first. */
  async close(): Promise<void> {
    const {count} = this.#inFlight;
    this.#ports.invariants.check(INVARIANT_CODES.cutOff, count === 0, {
      side: 'serving',
      count,
    });
    await this.#pool.close();
  }
}
