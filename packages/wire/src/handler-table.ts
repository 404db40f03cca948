import type {NoticeHandler, RequestHandler, StreamHandler} from './peer-bus.js';

/** Handlers by kind, shared by the connections of one bus. @internal */
export class HandlerTable {
  readonly requests = new Map<string, RequestHandler>();
  readonly notices = new Map<string, NoticeHandler>();
  readonly streams = new Map<string, StreamHandler>();
  /** While true, new requests and streams are refused as not run. */
  closing = false;
}
