/** A loopback proxy whose open channels can go silent for good. */
import net from 'node:net';
import {once} from 'node:events';

export class Proxy {
  #server;
  #pairs = new Set();

  /** Listens on `host:port` and passes channels on to `target`. */
  async start(host, port, target) {
    const [targetHost, targetPort] = target.split(':');
    this.#server = net.createServer(near => {
      const far = net.connect({host: targetHost, port: Number(targetPort)});
      const pair = {near, far, isSilent: false};
      this.#pairs.add(pair);
      near.on('data', chunk => pair.isSilent || far.write(chunk));
      far.on('data', chunk => pair.isSilent || near.write(chunk));
      for (const [from, to] of [
        [near, far],
        [far, near],
      ]) {
        from.on('error', () => undefined);
        from.on('close', () => {
          this.#pairs.delete(pair);
          if (!pair.isSilent) to.destroy();
        });
      }
    });
    await once(this.#server.listen(port, host), 'listening');
    return `${host}:${port}`;
  }

  /** Channels open now pass nothing on any more; new ones work. */
  silenceOpenChannels() {
    let count = 0;
    for (const pair of this.#pairs) {
      pair.isSilent = true;
      count++;
    }
    return count;
  }

  stop() {
    this.#server?.close();
    for (const {near, far} of this.#pairs) {
      near.destroy();
      far.destroy();
    }
  }
}
