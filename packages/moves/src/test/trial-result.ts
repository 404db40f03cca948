import type {MoveRecord} from '../move-record.js';

/** Result of a trial. Times in milliseconds since its start. @internal */
export interface TrialResult {
  readonly record: MoveRecord;
  readonly endedAt: number;
  /** Done at or before the deadline. */
  readonly onTime: boolean;
  /** Calls to the service since the first share. */
  readonly allCalls: number;
  /** Calls to the new version among `allCalls`. */
  readonly newCalls: number;
  /** Calls to the new version at or after the onset of the fault. */
  readonly badCalls: number;
  /** Calls to the service since the onset. */
  readonly callsSinceOnset: number;
  readonly onsetAt: number;
  readonly stopDecidedAt: number;
  /**
   * Time from the decision to stop to the last call to the new version; 0 if
   * none.
   */
  readonly lateMs: number;
  /** Stored records whose step is not higher than the step before. */
  readonly rewrites: number;
  /** Times of the steps in order. */
  readonly stepTimes: readonly number[];
}
