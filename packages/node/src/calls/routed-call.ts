import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Route, Snapshot} from '@verbenabeam/document';
import type {CallerHeaders} from './call-headers.js';

/** A call as received, before its checks. @internal */
export interface ReceivedCall {
  readonly callId: string;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Start on the clock of `performance.now()`, in ms. */
  readonly startAt: number;
  /** Null if the headers are malformed. */
  readonly headers: CallerHeaders | null;
  readonly snapshot: Snapshot | null;
  readonly route: Route | null;
  /** Time that the caller has waited in earlier attempts, in ms; 0 if unknown. */
  readonly waitedMs: number;
}

/** A call with a matched route. @internal */
export interface RoutedCall extends ReceivedCall {
  readonly headers: CallerHeaders;
  readonly snapshot: Snapshot;
  readonly route: Route;
}
