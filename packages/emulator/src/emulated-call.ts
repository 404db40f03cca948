import type {DayKind} from './day.js';
import type {EmulatedNode} from './emulated-node.js';

/** How a call ended. @internal */
export const CALL_ENDS = {
  answered: 'answered',
  /** Refused as not run; the caller may return. */
  refused: 'refused',
  failed: 'failed',
} as const;

/** One of the values of {@link CALL_ENDS}. @internal */
export type CallEnd = (typeof CALL_ENDS)[keyof typeof CALL_ENDS];

/** One attempt of a caller, or a call that an upstream makes. @internal */
export interface EmulatedCall {
  readonly id: string;
  readonly kind: DayKind;
  readonly entry: EmulatedNode;
  readonly isSubCall: boolean;
  /** What is the same in all attempts of its caller. */
  readonly key: string;
  readonly targetAt: number;
  readonly deadlineAt: number;
  readonly tried: Set<string>;
  /** Group in which the throttle counts it; null before it has decided. */
  group: string | null;
  isOver: boolean;
  /** Ends what runs or waits for the call now. */
  stop: () => void;
  readonly done: (end: CallEnd, retryAfterMs: number) => void;
}

/** A call as it begins. @internal */
export type NewCall = Omit<EmulatedCall, 'tried' | 'group' | 'isOver' | 'stop'>;

/** For a call of which nothing runs or waits. @internal */
export const noStop = () => undefined;

/** A call that nothing was decided on yet. @internal */
export function beginCall(begun: NewCall): EmulatedCall {
  const state = {group: null, isOver: false, stop: noStop};
  return {...begun, ...state, tried: new Set()};
}
