import diagnostics from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

const sockets = new Set<Socket>();

diagnostics.subscribe('net.client.socket', message => {
  const {socket} = message as {socket: Socket};
  sockets.add(socket);
  socket.once('close', () => sockets.delete(socket));
});

/**
 * Resets the connections of this process to an address and returns their
 * number.
 */
export function cutConnections(address: string): number {
  const port = Number(address.split(':')[1]);
  const open = [...sockets].filter(socket => socket.remotePort === port);
  for (const socket of open) socket.resetAndDestroy();
  return open.length;
}
