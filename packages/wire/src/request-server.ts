import {logger, MeshError, WIRE_CODES} from '@verbenabeam/core';
import type {Result} from 'true-myth';
import {
  encodeFrame,
  FRAME_TYPES,
  LENGTH_BYTES,
  MAX_FRAME_BYTES,
} from './frame.js';
import type {Frame} from './frame.js';
import type {HandlerTable} from './handler-table.js';
import type {PeerContext, RequestHandler} from './peer-bus.js';
import {errorFields} from './wire-errors.js';

/** Sends the frames of responses. @internal */
export interface ResponseLink {
  send(frame: Frame): void;
}

const log = logger('wire');

/** Runs the handlers of requests from one connection. @internal */
export class RequestServer {
  /** Requests whose handler has not returned. */
  running = 0;
  readonly #link: ResponseLink;
  readonly #handlers: HandlerTable;
  readonly #context: PeerContext;

  constructor(link: ResponseLink, table: HandlerTable, context: PeerContext) {
    this.#link = link;
    this.#handlers = table;
    this.#context = context;
  }

  /** Takes a request frame and sends its response later. */
  take([, id, kind, body]: Frame): void {
    const handler = this.#handlers.requests.get(String(kind));
    if (this.#handlers.closing) {
      this.#fail(id, new MeshError(WIRE_CODES.closing, 'The peer is closing'));
    } else if (handler) {
      void this.#run(id, handler, body);
    } else {
      const message = `No handler for ${String(kind)}`;
      this.#fail(id, new MeshError(WIRE_CODES.unknownKind, message));
    }
  }

  async #run(
    id: unknown,
    handler: RequestHandler,
    body: unknown,
  ): Promise<void> {
    this.running++;
    const outcome = await runHandler(handler, body, this.#context);
    this.running--;
    if (outcome instanceof MeshError) this.#fail(id, outcome);
    else if (outcome.isOk) this.#respond(id, outcome.value);
    else this.#fail(id, outcome.error);
  }

  #respond(id: unknown, body: unknown): void {
    const frame: Frame = [FRAME_TYPES.response, id, body];
    const length = encodeFrame(frame).length - LENGTH_BYTES;
    if (length <= MAX_FRAME_BYTES) this.#link.send(frame);
    else this.#fail(id, new MeshError(WIRE_CODES.frameTooLarge, `${length}`));
  }

  #fail(id: unknown, err: MeshError): void {
    this.#link.send([FRAME_TYPES.failure, id, ...errorFields(err)]);
  }
}

async function runHandler(
  handler: RequestHandler,
  body: unknown,
  context: PeerContext,
): Promise<Result<unknown, MeshError> | MeshError> {
  try {
    return await handler(body, context);
  } catch (err) {
    log('Request handler failed', {err: String(err)});
    return new MeshError(WIRE_CODES.handlerFailed, 'The handler failed');
  }
}
