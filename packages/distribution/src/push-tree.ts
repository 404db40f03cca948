import {hashToUint32} from '@verbenabeam/core';

/** Children of each node; 186 nodes of a data centre give a depth of 3. @public */
export const PUSH_FANOUT = 8;

/**
 * Returns the children of a node in the push tree of its data centre: members
 * sorted by hash of their id, rotated to start at the root; node i sends to
 * k·i+1..k·i+k.
 *
 * @param members - Node ids; the root and the node itself may be missing.
 * @public
 */
export function pushTargets(
  members: readonly string[],
  root: string,
  self: string,
  fanout = PUSH_FANOUT,
): readonly string[] {
  const ring = sortByHash([...new Set([...members, root, self])]);
  const start = ring.indexOf(root);
  const order = [...ring.slice(start), ...ring.slice(0, start)];
  const first = order.indexOf(self) * fanout + 1;
  return order.slice(first, first + fanout);
}

function sortByHash(ids: readonly string[]): readonly string[] {
  return ids
    .map(id => ({id, hash: hashToUint32(id)}))
    .sort((a, b) => a.hash - b.hash || (a.id < b.id ? -1 : 1))
    .map(row => row.id);
}
