import {MOVE_STATES, isTerminal} from '@verbenabeam/moves';
import type {TrafficSplitter, MoveRecord} from '@verbenabeam/moves';
import type {StoppedVersions} from '../calls/index.js';

/** Reads from the move records which versions are stopped. @internal */
export class StoppedVersionsAdapter implements StoppedVersions {
  readonly #gate: Pick<TrafficSplitter, 'records' | 'stops'>;

  constructor(gate: Pick<TrafficSplitter, 'records' | 'stops'>) {
    this.#gate = gate;
  }

  isStopped(service: string, version: string): boolean {
    const record = this.#latestMove(service);
    if (record?.to !== version) return false;
    if (record.state === MOVE_STATES.takenBack) return true;
    if (record.state !== MOVE_STATES.running) return false;
    return this.#gate.stops().some(stop => stop.moveId === record.moveId);
  }

  /**
   * Returns the open move of the service, or else the one that changed last.
   */
  #latestMove(service: string): MoveRecord | null {
    const records = this.#gate.records().filter(r => r.service === service);
    const open = records.find(record => !isTerminal(record));
    if (open) return open;
    records.sort((a, b) => b.changedAt - a.changedAt);
    return records[0] ?? null;
  }
}
