import type {Store} from '@verbenabeam/store';

const relayPrefix = '/verbenabeam/dc/';
const timeoutMs = 1_000;

/**
 * Returns the seed addresses of the settings and the relays listed in the
 * store.
 */
export async function findSeeds(
  fromSettings: readonly string[],
  store: Store,
): Promise<readonly string[]> {
  const listed = await store.list(relayPrefix, {timeoutMs});
  if (listed.isErr) return fromSettings;
  const decoder = new TextDecoder();
  const relays = listed.value.map(entry => decoder.decode(entry.value));
  return [...new Set([...fromSettings, ...relays])];
}
