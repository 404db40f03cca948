import {NODE_STATES} from './instance-record.js';
import type {InstanceRecord, UpstreamRecord} from './instance-record.js';
import {compareKeys, keyOf} from './update.js';
import type {RecordKey} from './update.js';

/** Record of this node. Only its owner raises the sequence. @internal */
export class OwnRecord {
  #record: InstanceRecord;

  constructor(record: InstanceRecord) {
    this.#record = {...record, state: NODE_STATES.alive};
  }

  get value(): InstanceRecord {
    return this.#record;
  }

  get key(): RecordKey {
    return keyOf(this.#record);
  }

  change(change: {
    upstream?: UpstreamRecord | null;
    relay?: boolean;
    state?: InstanceRecord['state'];
  }): InstanceRecord {
    const sequence = this.#record.sequence + 1;
    this.#record = {...this.#record, ...change, sequence};
    return this.#record;
  }

  /** The configuration rides on probes, so it does not raise the sequence. */
  setConfigVersion(configVersion: number): void {
    this.#record = {...this.#record, configVersion};
  }

  /**
   * Answers a doubt about this node with a newer record.
   *
   * @returns False if the doubt is older than the record.
   */
  refute(doubted: RecordKey): boolean {
    if (compareKeys(this.key, doubted) > 0) return false;
    const sequence = doubted[2] + 1;
    const incarnation = Math.max(doubted[1], this.#record.incarnation);
    this.#record = {...this.#record, incarnation, sequence};
    return true;
  }

  /**
   * Raises the incarnation above that of another process that claims the
   * address. It has ended, since this process holds the address; its clock was
   * ahead.
   */
  outlive(other: InstanceRecord): boolean {
    const {nodeId, address, incarnation} = this.#record;
    const isOther = other.address === address && other.nodeId !== nodeId;
    if (!isOther || other.incarnation < incarnation) return false;
    this.#record = {...this.#record, incarnation: other.incarnation + 1};
    return true;
  }
}
