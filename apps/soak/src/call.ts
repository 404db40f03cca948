/** What became of a call. */
export const CALL_ENDS = {
  answered: 'answered',
  /** No connection to the node was made. */
  unsent: 'unsent',
  /** The caller left. */
  left: 'left',
  /** The connection ended without an answer. */
  lost: 'lost',
  /** The connection ended in the midst of the answer. */
  cutMidway: 'cut midway',
  /** An earlier answer on the connection closed it. */
  behindClose: 'behind a closing answer',
} as const;

/** One of {@link CALL_ENDS}. */
export type CallEnd = (typeof CALL_ENDS)[keyof typeof CALL_ENDS];

/** A call as its caller and the upstreams saw it. */
export interface Call {
  readonly id: string;
  /** Number of the entry machine. */
  readonly entry: number;
  readonly path: string;
  readonly bodyBytes: number;
  /** May run at most once. */
  readonly isOnce: boolean;
  readonly sentAt: number;
  /** Infinity while it is open. */
  endAt: number;
  end: CallEnd | null;
  status: number;
  /** Machines whose upstreams ran it. */
  readonly ranAt: number[];
}
