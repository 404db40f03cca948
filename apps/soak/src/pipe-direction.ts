import type {Socket} from 'node:net';

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

/** Passes on what one socket of a connection sends, in order. */
export class PipeDirection {
  readonly #to: Socket;
  readonly #fault: () => DirectionFault;
  /** Pieces with the time at which each is due; null: the end. */
  readonly #pieces: {readonly piece: Buffer | null; readonly dueAt: number}[] =
    [];
  #timer: NodeJS.Timeout | null = null;

  constructor(from: Socket, to: Socket, fault: () => DirectionFault) {
    this.#to = to;
    this.#fault = fault;
    from.on('data', (piece: Buffer) => this.#take(piece));
    from.on('end', () => this.#take(null));
    to.on('close', () => this.#cancel());
  }

  /** Sends what is due, after a fault has changed. */
  resume(): void {
    this.#cancel();
    this.#send();
  }

  #take(piece: Buffer | null): void {
    const {delayMs, takeRepeat} = this.#fault();
    this.#pieces.push({piece, dueAt: performance.now() + delayMs});
    const isAnswer = piece?.subarray(0, answerStart.length).toString();
    if (isAnswer === answerStart && takeRepeat()) {
      setTimeout(() => this.#repeat(piece), repeatAfterMs);
    }
    if (!this.#timer) this.#send();
  }

  #repeat(piece: Buffer | null): void {
    if (piece && this.#to.writable) this.#to.write(piece);
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
      if (!this.#to.writable) continue;
      if (next.piece) this.#to.write(next.piece);
      else this.#to.end();
    }
  }

  #cancel(): void {
    if (this.#timer) clearTimeout(this.#timer);
    this.#timer = null;
  }
}
