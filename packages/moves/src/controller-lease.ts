import type {Store} from '@verbenabeam/store';

/** Key of the controller lease of an environment. @public */
export function controllerKey(environment: string): string {
  return `/verbenabeam/env/${environment}/controller`;
}

/** Time to live of the controller lease in milliseconds. @public */
export const controllerLeaseMs = 10_000;

const renewMs = 3_000;

/**
 * The lease of the move controller. It only prevents duplicate work. A holder
 * that was paused until after the lease expired does no harm, because each step
 * is a compare-and-swap.
 *
 * @internal
 */
export class ControllerLease {
  readonly #store: Store;
  readonly #key: string;
  readonly #value: Uint8Array;
  #lease: string | null = null;
  #renewedAt = 0;

  constructor(store: Store, environment: string, nodeId: string) {
    this.#store = store;
    this.#key = controllerKey(environment);
    this.#value = new TextEncoder().encode(nodeId);
  }

  /** Acquires or renews the lease; true while this node holds it. */
  async acquireOrRenew(now: number): Promise<boolean> {
    if (this.#lease === null) return this.#take(now);
    const age = now - this.#renewedAt;
    if (age < renewMs) return true;
    const renewed = await this.#store.keepAlive(this.#lease);
    if (renewed.isOk && renewed.value) {
      this.#renewedAt = now;
      return true;
    }
    if (renewed.isErr && age < controllerLeaseMs) return true;
    this.#lease = null;
    return false;
  }

  /** Revokes the lease, at a planned stop of the node. */
  async release(): Promise<void> {
    const lease = this.#lease;
    this.#lease = null;
    if (lease !== null) await this.#store.revoke(lease);
  }

  async #take(now: number): Promise<boolean> {
    // Reading first avoids a lease and a write per attempt while another node
    // holds the key.
    const holder = await this.#store.get(this.#key);
    if (holder.isErr || holder.value) return false;
    const granted = await this.#store.grantLease(controllerLeaseMs);
    if (granted.isErr) return false;
    const outcome = await this.#store.txn({
      compares: [{key: this.#key, revision: 0}],
      puts: [{key: this.#key, value: this.#value, lease: granted.value}],
    });
    if (outcome.isErr || !outcome.value.committed) {
      // If the write took effect but its response was lost, this deletes the
      // key.
      await this.#store.revoke(granted.value);
      return false;
    }
    this.#lease = granted.value;
    this.#renewedAt = now;
    return true;
  }
}
