import type {MoveRecord} from '../move-record.js';

/** What a trial measured. Times in milliseconds since the start. @internal */
export interface TrialResult {
  readonly record: MoveRecord;
  readonly endedAt: number;
  /** Done at or before the deadline. */
  readonly onTime: boolean;
  /** Calls of the service since the first share. */
  readonly allCalls: number;
  /** Of these, calls to the new version. */
  readonly newCalls: number;
  /** Of these, calls at or after the onset of the fault. */
  readonly badCalls: number;
  /** Calls of the service since the onset. */
  readonly callsSinceOnset: number;
  readonly onsetAt: number;
  readonly stopDecidedAt: number;
  /** Last call to the new version after the stop was decided; 0 if none. */
  readonly lateMs: number;
  /** Stored records that did not follow the one before; see the controllers. */
  readonly rewrites: number;
  /** Times of the steps, the first one first. */
  readonly stepTimes: readonly number[];
}
