import net from 'node:net';
import {endedByReset} from '@verbenabeam/http';
import {testHost} from '@verbenabeam/platform/fakes';
import {AnswerReader} from './answer-reader.js';
import type {ReadAnswer} from './answer-reader.js';
import {CALL_ENDS} from './call.js';
import type {Call, CallEnd} from './call.js';

/** Handlers of a {@link CallerConnection}. */
export interface CallerHandlers {
  readonly onAnswer: (call: Call, answer: ReadAnswer) => void;
  readonly onEnd: (call: Call, end: CallEnd) => void;
  /** Bytes that are no answer, or that nobody asked for. */
  readonly onGarbage: (call: Call | null, message: string) => void;
}

/** Callers leave an answer that is longer. */
const maxAnswerBytes = 2_000_000;

/** A connection of a caller that is kept open, with requests one behind the other. */
export class CallerConnection {
  readonly #socket: net.Socket;
  readonly #handlers: CallerHandlers;
  readonly #reader = new AnswerReader();
  readonly #open: Call[] = [];
  #isConnected = false;
  #closes = false;
  #hasLeft = false;
  /** The peer ended the connection in the usual way. */
  #hasEnded = false;
  usedAt = performance.now();

  constructor(host: string, port: number, handlers: CallerHandlers) {
    this.#handlers = handlers;
    this.#socket = net.connect({host, port, noDelay: true});
    this.#socket.on('connect', () => (this.#isConnected = true));
    this.#socket.on('data', (piece: Buffer) => this.#read(piece));
    this.#socket.on('end', () => {
      this.#hasEnded = !endedByReset(this.#socket);
    });
    // The close that follows an error ends the calls.
    this.#socket.on('error', () => undefined);
    this.#socket.on('close', () => this.#finish());
  }

  /** Requests without an answer. */
  get depth(): number {
    return this.#open.length;
  }

  /** Whether further requests may be sent. */
  get isUsable(): boolean {
    return !this.#closes && this.#socket.writable;
  }

  send(call: Call, deadlineMs: number): void {
    this.#open.push(call);
    this.usedAt = performance.now();
    const head = [
      `${call.bodyBytes > 0 ? 'POST' : 'GET'} ${call.path} HTTP/1.1`,
      `Host: ${testHost}`,
      `Request-Id: ${call.id}`,
      `Deadline-Ms: ${deadlineMs}`,
      ...(call.bodyBytes > 0 ? [`Content-Length: ${call.bodyBytes}`] : []),
      '\r\n',
    ];
    this.#socket.write(head.join('\r\n') + 'b'.repeat(call.bodyBytes));
  }

  /** Closes the connection as a caller does that waits no longer. */
  leave(): void {
    this.#hasLeft = true;
    this.#socket.destroy();
  }

  #read(piece: Buffer): void {
    if (this.#hasLeft) return;
    this.#reader.push(piece);
    try {
      for (;;) {
        const [call] = this.#open;
        if (!call) {
          if (!this.#reader.hasBegun) return;
          throw new Error('bytes that nobody asked for');
        }
        const answer = this.#reader.next();
        if (!answer) break;
        this.#take(answer);
      }
      if (this.#reader.size > maxAnswerBytes) this.leave();
    } catch (err) {
      this.#handlers.onGarbage(this.#open[0] ?? null, String(err));
      this.leave();
    }
  }

  #take(answer: ReadAnswer): void {
    const call = this.#open.shift();
    if (!call) return;
    this.#closes ||= answer.headers.get('connection') === 'close';
    this.#handlers.onAnswer(call, answer);
  }

  #finish(): void {
    const isCut = this.#reader.hasBegun;
    const isWhole = this.#hasEnded && !this.#hasLeft;
    const last = isWhole ? this.#reader.end() : null;
    if (last) this.#take(last);
    for (const [i, call] of this.#open.entries()) {
      this.#handlers.onEnd(call, this.#endOf(i === 0 && isCut && !last));
    }
    this.#open.length = 0;
  }

  #endOf(isCut: boolean): CallEnd {
    if (this.#hasLeft) return CALL_ENDS.left;
    if (!this.#isConnected) return CALL_ENDS.unsent;
    if (isCut) return CALL_ENDS.cutMidway;
    return this.#closes ? CALL_ENDS.behindClose : CALL_ENDS.lost;
  }
}
