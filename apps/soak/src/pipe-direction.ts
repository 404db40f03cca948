import type {Socket} from 'node:net';
import {endedByReset} from '@verbenabeam/http';

/** What happens to pieces of a direction at the moment. */
export interface DirectionFault {
  readonly delayMs: number;
  readonly isHeld: boolean;
  /** Whether the piece is to be sent once more. */
  takeRepeat(): boolean;
}

/** Time after which an answer is sent once more, in ms. */
const repeatAfterMs = 120;
const answerStart = 'HTTP/1.1 ';

/** How the sending side ended a connection. */
const LINK_ENDS = {usual: 'usual', reset: 'reset'} as const;

type LinkEnd = (typeof LINK_ENDS)[keyof typeof LINK_ENDS];

/** Passes on what one socket of a connection sends, in order. */
export class PipeDirection {
  readonly #to: Socket;
  readonly #fault: () => DirectionFault;
  /** Pieces, and the end behind them, with the time at which each is due. */
  readonly #pieces: {
    readonly piece: Buffer | LinkEnd;
    readonly dueAt: number;
  }[] = [];
  #timer: NodeJS.Timeout | null = null;

  constructor(from: Socket, to: Socket, fault: () => DirectionFault) {
    this.#to = to;
    this.#fault = fault;
    from.on('data', (piece: Buffer) => this.#take(piece));
    from.on('end', () => {
      this.#take(endedByReset(from) ? LINK_ENDS.reset : LINK_ENDS.usual);
    });
    to.on('close', () => this.#cancel());
  }

  /** Sends what is due, after a fault has changed. */
  resume(): void {
    this.#cancel();
    this.#send();
  }

  #take(piece: Buffer | LinkEnd): void {
    const {delayMs, takeRepeat} = this.#fault();
    this.#pieces.push({piece, dueAt: performance.now() + delayMs});
    if (isAnswer(piece) && takeRepeat()) {
      setTimeout(() => this.#repeat(piece), repeatAfterMs);
    }
    if (!this.#timer) this.#send();
  }

  #repeat(piece: Buffer): void {
    if (this.#to.writable) this.#to.write(piece);
  }

  #send(): void {
    while (!this.#fault().isHeld) {
      const [next] = this.#pieces;
      if (!next) return;
      const waitMs = next.dueAt - performance.now();
      if (waitMs > 0) {
        this.#timer = setTimeout(() => this.resume(), waitMs);
        return;
      }
      this.#pieces.shift();
      if (next.piece === LINK_ENDS.reset) this.#to.resetAndDestroy();
      if (!this.#to.writable) continue;
      if (next.piece === LINK_ENDS.usual) this.#to.end();
      else this.#to.write(next.piece);
    }
  }

  #cancel(): void {
    if (this.#timer) clearTimeout(this.#timer);
    this.#timer = null;
  }
}

function isAnswer(piece: Buffer | LinkEnd): piece is Buffer {
  if (!Buffer.isBuffer(piece)) return false;
  return piece.toString('latin1', 0, answerStart.length) === answerStart;
}
