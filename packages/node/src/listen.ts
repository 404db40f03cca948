import {once} from 'node:events';
import type {AddressInfo, Server} from 'node:net';
import {Result} from 'true-myth';
import {MeshError, WIRE_CODES} from '@verbenabeam/core';
import {
  formatSocketAddress,
  parseSocketAddress,
} from './settings/socket-address.js';

/**
 * Binds a server to `ip:port` and waits until it listens.
 *
 * @param backlog - Maximum number of connections that wait to be accepted;
 * default 511.
 * @returns The bound address with the port that was assigned, or
 * `wire.listenFailed`.
 * @internal
 */
export async function listen(
  server: Server,
  address: string,
  backlog?: number,
): Promise<Result<string, MeshError>> {
  const target = parseSocketAddress(address);
  try {
    server.listen({host: target?.ip, port: target?.port, backlog});
    await once(server, 'listening');
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    return Result.err(
      new MeshError(WIRE_CODES.listenFailed, `${address}: ${reason}`),
    );
  }
  const {port} = server.address() as AddressInfo;
  return Result.ok(formatSocketAddress({ip: target?.ip ?? '', port}));
}
