import {readSync} from 'node:fs';
import type {Socket} from 'node:net';

/** The handle of a socket, whose descriptor Node.js does not document. */
interface SocketHandle {
  readonly fd?: number;
}

/**
 * Whether a connection was reset, for a socket that has just emitted `end`. libuv
 * reports the end of the stream without asking for the error of the socket when a read
 * returns the last bytes of a connection that is already closed. The system still has the
 * error, which one more read returns.
 */
export function endedByReset(socket: Socket): boolean {
  const {_handle: handle} = socket as unknown as {
    readonly _handle: SocketHandle | null;
  };
  const fd = handle?.fd ?? -1;
  if (fd < 0) return false;
  try {
    readSync(fd, Buffer.alloc(1));
    return false;
  } catch (err) {
    return (err as NodeJS.ErrnoException).code === 'ECONNRESET';
  }
}
