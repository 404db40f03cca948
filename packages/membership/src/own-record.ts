import {NODE_STATES} from './instance-record.js';
import type {InstanceRecord, UpstreamRecord} from './instance-record.js';
import {compareKeys, keyOf} from './update.js';
import type {RecordKey} from './update.js';

/** Record of this node. Only this node raises its sequence. @internal */
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

  /** Keeps the sequence, since every probe carries the configuration. */
  setConfigVersion(configVersion: number): void {
    this.#record = {...this.#record, configVersion};
  }

  /**
   * Refutes a suspicion about this node with a newer record.
   *
   * @returns False if the suspicion refers to an older record.
   */
  refute(suspected: RecordKey): boolean {
    if (compareKeys(this.key, suspected) > 0) return false;
    const sequence = suspected[2] + 1;
    const incarnation = Math.max(suspected[1], this.#record.incarnation);
    this.#record = {...this.#record, incarnation, sequence};
    return true;
  }

  /**
   * Raises the incarnation above that of a former process at the same address.
   * That process has ended, since this process now listens on the address; its
   * incarnation may still be higher because its clock was ahead.
   */
  supersedeAtAddress(other: InstanceRecord): boolean {
    const {nodeId, address, incarnation} = this.#record;
    const isOther = other.address === address && other.nodeId !== nodeId;
    if (!isOther || other.incarnation < incarnation) return false;
    this.#record = {...this.#record, incarnation: other.incarnation + 1};
    return true;
  }
}
