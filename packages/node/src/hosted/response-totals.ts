import type {EntryHandler, ServingHandler} from '../calls/index.js';

/** Counts of responses that break the rules or have no length. @internal */
export interface ResponseTotals {
  /** Memory of responses without a length that are held. */
  readonly heldBytes: number;
  /** Connections of the own upstream that ended by a reset, since the start. */
  readonly resetEnds: number;
  /** Responses of the own upstream that were given up over a limit, since the start. */
  readonly exceeded: number;
}

/** Reads the counts of a node's handlers. @internal */
export function responseTotals({
  entry,
  serving,
}: {
  readonly entry: EntryHandler;
  readonly serving: ServingHandler;
}): ResponseTotals {
  return {
    heldBytes: entry.heldResponseBytes,
    resetEnds: serving.resetEnds,
    exceeded: serving.responsesExceeded,
  };
}
