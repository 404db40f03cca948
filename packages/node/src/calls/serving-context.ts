import type {CrashDetector} from './crash-detector.js';
import type {ServingPorts} from './serving-ports.js';
import type {CallScheduler} from './call-scheduler.js';
import type {UpstreamPool} from './upstream-pool.js';

/** State that all calls of a serving handler share. @internal */
export interface ServingContext {
  readonly ports: ServingPorts;
  readonly pool: UpstreamPool;
  readonly scheduler: CallScheduler;
  readonly crashDetector: CrashDetector;
  /** Ids of the calls that were sent to the upstream and have not ended. */
  readonly running: Set<string>;
  readonly isDraining: () => boolean;
  /** Called once for each call, when it ends. */
  readonly onEnd: () => void;
}
