import type {CompiledDocument} from '@verbenabeam/document';
import type {Submission} from './submission.js';
import type {VersionMetadata} from './store-records.js';

/** A submission with its compiled document. @internal */
export interface Draft extends Submission {
  readonly document: CompiledDocument;
  readonly promotedFrom: VersionMetadata['promotedFrom'];
  /** A version that the new one must exceed although the store lacks it. */
  readonly above?: number;
}
