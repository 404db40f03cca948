import {createHmac, randomBytes} from 'node:crypto';
import net from 'node:net';
import {Decoder, Encoder} from 'cbor-x';

const options = {useRecords: false, tagUint8Array: false};
const encoder = new Encoder(options);
const decoder = new Decoder(options);
const [hello, challenge, proof] = [20, 21, 22];
const closeTimeoutMs = 5_000;

/** A frame of any declared length. */
function frame(body: Uint8Array, length = body.length): Buffer {
  const head = Buffer.alloc(4);
  head.writeUInt32BE(length);
  return Buffer.concat([head, body]);
}

/**
 * Authenticates at a node's wire port as the protocol says, sends one frame,
 * and resolves when the node closes the connection.
 *
 * @internal
 */
export async function sendRawFrame(
  address: string,
  nodeKey: string,
  body: Uint8Array,
  declaredLength = body.length,
): Promise<void> {
  const colon = address.lastIndexOf(':');
  const port = Number(address.slice(colon + 1));
  const socket = net.connect(port, address.slice(0, colon));
  socket.setTimeout(closeTimeoutMs, () => {
    socket.destroy(new Error('the node kept the connection open'));
  });
  const clientNonce = randomBytes(32);
  socket.once('connect', () => {
    const fields = [hello, clientNonce, 'raw', 'control'];
    socket.write(frame(encoder.encode(fields)));
  });
  socket.once('data', (bytes: Buffer) => {
    const answer = decoder.decode(bytes.subarray(4)) as unknown[];
    if (answer[0] !== challenge) throw new Error('expected a challenge');
    const transcript = [
      'verbenabeam-wire-1',
      'client',
      'control',
      clientNonce.toString('hex'),
      Buffer.from(answer[1] as Uint8Array).toString('hex'),
      'raw',
      answer[2],
      '',
    ];
    const mac = createHmac('sha256', nodeKey)
      .update(JSON.stringify(transcript))
      .digest();
    socket.write(frame(encoder.encode([proof, mac])));
    socket.write(frame(body, declaredLength));
  });
  await new Promise<void>((resolve, reject) => {
    socket.once('close', () => resolve());
    socket.once('error', err => {
      if ('code' in err && err.code === 'ECONNRESET') resolve();
      else reject(err);
    });
  });
}
