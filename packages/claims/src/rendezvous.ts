import {hashText} from '@verbenabeam/core';

/** Sorts nodes by their rendezvous weight for a subject, best first. @public */
export function rendezvousOrder(
  nodes: readonly string[],
  subject: string,
): string[] {
  return nodes
    .map(node => ({node, weight: hashText(`${subject}/${node}`)}))
    .sort((a, b) => (a.weight < b.weight ? 1 : -1))
    .map(({node}) => node);
}
