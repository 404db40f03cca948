import type {Store} from '@verbenabeam/store';

/** Holds responses back while the node that waits for them is paused. @internal */
export function gatedStore(store: Store, open: () => Promise<void>): Store {
  const gate = async <T>(call: Promise<T>): Promise<T> => {
    const value = await call;
    await open();
    return value;
  };
  return {
    get: key => gate(store.get(key)),
    list: prefix => gate(store.list(prefix)),
    txn: txn => gate(store.txn(txn)),
    grantLease: ttlMs => gate(store.grantLease(ttlMs)),
    keepAlive: lease => gate(store.keepAlive(lease)),
    revoke: lease => gate(store.revoke(lease)),
    watch: options => gate(store.watch(options)),
  };
}
