import {hashText} from '@verbenabeam/core';

/** Sorts nodes by their rendezvous hash for a key, highest first. @public */
export function rendezvousOrder(
  nodes: readonly string[],
  key: string,
): string[] {
  return nodes
    .map(node => ({node, weight: hashText(`${key}/${node}`)}))
    .sort((a, b) => (a.weight < b.weight ? 1 : -1))
    .map(({node}) => node);
}
