import {MeshError, WIRE_CODES} from '@verbenabeam/core';

/** Error for a node that is not in the membership table. @internal */
export function unknownPeerError(nodeId: string): MeshError {
  return new MeshError(
    WIRE_CODES.unreachable,
    `node "${nodeId}" is not known`,
    {
      nodeId,
    },
  );
}
