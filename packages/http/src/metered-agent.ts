import {Agent} from 'undici';
import type {Dispatcher} from 'undici';
import {ResponseSockets} from './response-sockets.js';

/** Options of {@link createMeteredAgent}. */
export interface MeteredAgentOptions extends Omit<Agent.Options, 'connect'> {
  /** Time limit to connect, in ms. */
  readonly connectTimeoutMs: number;
}

/** Lowest status of a final response. */
const firstFinalStatus = 200;

/** Creates an agent whose responses have the limits of {@link ResponseSockets}. */
export function createMeteredAgent({
  connectTimeoutMs,
  ...options
}: MeteredAgentOptions): Dispatcher.ComposedDispatcher {
  const sockets = new ResponseSockets();
  const connect = sockets.connector({timeout: connectTimeoutMs});
  return new Agent({...options, connect}).compose(
    dispatch => (request, handler) =>
      dispatch(request, meteredHandler(handler, sockets)),
  );
}

function meteredHandler(
  handler: Dispatcher.DispatchHandler,
  sockets: ResponseSockets,
): Dispatcher.DispatchHandler {
  let isChunked = false;
  return {
    onRequestStart: (...args) => handler.onRequestStart?.(...args),
    onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
    onResponseStart: (controller, status, headers, text) => {
      if (status >= firstFinalStatus) {
        isChunked = headers['transfer-encoding'] !== undefined;
        sockets.onHead(isChunked);
      }
      handler.onResponseStart?.(controller, status, headers, text);
    },
    onResponseData: (controller, chunk) => {
      sockets.onBody(chunk.length);
      handler.onResponseData?.(controller, chunk);
    },
    onResponseEnd: (controller, trailers) => {
      sockets.onResponseEnd();
      const err = sockets.truncation(isChunked);
      if (err) handler.onResponseError?.(controller, err);
      else handler.onResponseEnd?.(controller, trailers);
    },
    onResponseError: (...args) => handler.onResponseError?.(...args),
  };
}
