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
  return {
    onRequestStart: (...args) => handler.onRequestStart?.(...args),
    onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
    onResponseStart: (controller, status, headers, text) => {
      if (status >= firstFinalStatus) {
        sockets.onHead(headers['transfer-encoding'] !== undefined);
      }
      handler.onResponseStart?.(controller, status, headers, text);
    },
    onResponseData: (controller, chunk) => {
      sockets.onBody(chunk.length);
      handler.onResponseData?.(controller, chunk);
    },
    onResponseEnd: (...args) => {
      sockets.onResponseEnd();
      handler.onResponseEnd?.(...args);
    },
    onResponseError: (...args) => handler.onResponseError?.(...args),
  };
}
