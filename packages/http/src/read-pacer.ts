import type {Socket} from 'node:net';

/** Parts of a body below this size count; each costs the parser a callback. */
const smallPartBytes = 256;
/** Small parts of bodies that are read in a second, on all connections together. */
const partsPerSecond = 100_000;
/** Small parts that are read at once after a pause. */
const maxBurstParts = 50_000;
/** Time between two turns of the connections that wait, in ms. */
const turnMs = 10;
const msPerSecond = 1_000;

/**
 * Reads bodies in many small parts no faster than a part of a core can parse them, so that
 * time is left for other calls. Connections that wait are read in turn; their bodies
 * arrive late, but whole.
 */
export class ReadPacer {
  readonly #now: () => number;
  readonly #waiting = new Set<Socket>();
  #partsLeft = maxBurstParts;
  #refilledAt: number;
  #timer: NodeJS.Timeout | null = null;

  /** @param now - Clock in ms. */
  constructor(now: () => number = () => performance.now()) {
    this.#now = now;
    this.#refilledAt = now();
  }

  /** Counts a part of a body. */
  onPart(bytes: number): void {
    if (bytes < smallPartBytes) this.#partsLeft--;
  }

  /** Whether a socket may be read; if not, it emits `readable` once it may. */
  admits(socket: Socket): boolean {
    if (this.#partsLeft <= 0) this.#refill();
    if (this.#partsLeft > 0) return true;
    this.#waiting.add(socket);
    this.#schedule();
    return false;
  }

  #refill(): void {
    const now = this.#now();
    const earned = ((now - this.#refilledAt) * partsPerSecond) / msPerSecond;
    this.#partsLeft = Math.min(maxBurstParts, this.#partsLeft + earned);
    this.#refilledAt = now;
  }

  #schedule(): void {
    if (this.#timer) return;
    this.#timer = setTimeout(() => {
      this.#timer = null;
      this.#takeTurn();
    }, turnMs);
  }

  /** A socket that has to wait again goes to the end of the row. */
  #takeTurn(): void {
    this.#refill();
    for (const socket of [...this.#waiting]) {
      if (!socket.destroyed && this.#partsLeft <= 0) continue;
      this.#waiting.delete(socket);
      if (!socket.destroyed) socket.emit('readable');
    }
    if (this.#waiting.size > 0) this.#schedule();
  }
}
