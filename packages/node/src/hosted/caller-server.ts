import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {CallerConnections} from './caller-connections.js';
import {ClosingConnections} from './closing-connections.js';

/** Above the header limit of any configuration, which refuses with 431. */
const maxHeaderBytes = 131_072;
/**
 * Bytes of pipelined responses that may wait behind a slow one on a connection.
 * Above this, Node.js stops reading the connection, and the node would not see the
 * requests that wait there.
 */
const pipelineBufferBytes = 524_288;

/** Options of {@link CallerServer}. @internal */
export interface CallerServerOptions {
  /** Time after which Node.js closes idle connections, in ms. */
  readonly keepAliveMs: number;
  /** Limit of descriptors of the process. */
  readonly maxDescriptors: number;
  readonly handle: (req: IncomingMessage, res: ServerResponse) => void;
}

/** The HTTP server for callers, and which of its connections close. @internal */
export class CallerServer {
  readonly server: Server;
  readonly closing = new ClosingConnections();
  /** Whether all connections close after their next responses. */
  closesConnections = false;
  readonly #connections: CallerConnections;

  constructor({keepAliveMs, maxDescriptors, handle}: CallerServerOptions) {
    this.server = createServer(
      {
        maxHeaderSize: maxHeaderBytes,
        keepAliveTimeout: keepAliveMs,
        requestTimeout: 0,
        highWaterMark: pipelineBufferBytes,
      },
      (req, res) => {
        const closes =
          this.closesConnections || this.#connections.shouldCloseAfterResponse;
        if (this.closing.admit(req, res, closes)) handle(req, res);
      },
    );
    this.#connections = new CallerConnections(this.server, maxDescriptors);
  }
}
