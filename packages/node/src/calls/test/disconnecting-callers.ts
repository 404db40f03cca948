/**
 * Worker thread with callers that disconnect before their response: each opens a
 * connection, sends a call and closes the connection after `connectedMs`.
 *
 * @packageDocumentation
 */
import net from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';

/** Data that the worker gets when it starts. */
export interface DisconnectingCallers {
  readonly port: number;
  readonly count: number;
  readonly connectedMs: number;
}

const {port, count, connectedMs: staysMs} = workerData as DisconnectingCallers;
const head = [
  'GET /read?ms=0 HTTP/1.1',
  'Host: files',
  `Vb-Deadline-Ms: ${staysMs}`,
  '\r\n',
].join('\r\n');

parentPort?.once('message', () => {
  let open = count;
  for (let i = 0; i < count; i++) {
    const socket = net.connect(port, '127.0.0.1', () => {
      socket.write(head);
      setTimeout(() => socket.destroy(), staysMs);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      if (--open === 0) process.exit();
    });
  }
});
