/**
 * Process that runs one or more nodes and takes commands from its parent.
 * Several nodes in one process keep the number of processes small where
 * processor time is not what is measured.
 */
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {MeshNode, nodeSettingsSchema} from '@verbenabeam/node';
import type {NodeAddresses} from '@verbenabeam/node';
import type {HostCommands, NodeSpec, NodeUsage} from './host-commands.js';

const nodeKey = 'bench-node-key-0123456789';
const operatorToken = 'bench-operator-token-0123456789';
const anyPort = '127.0.0.1:0';
const pollMs = 2;
const nsPerMs = 1e6;
/** The histogram counts this period of its own timer as delay. */
const delayResolutionMs = 5;
const bytesLine =
  /^verbenabeam_wire_bytes\{class="(\w+)",direction="(\w+)"\} (\S+)$/gm;
const kindLine = /^verbenabeam_control_sent_bytes\{kind="([^"]+)"\} (\S+)$/gm;
const nodes = new Map<string, MeshNode>();
const loopDelay = monitorEventLoopDelay({resolution: delayResolutionMs});

async function startNode(spec: NodeSpec): Promise<NodeAddresses> {
  const file = nodeSettingsSchema.parse({
    node: {
      id: spec.id,
      environment: 'production',
      data_centre: spec.dataCentre,
      region: 'bench',
    },
    listen: {callers: anyPort, wire: anyPort, admin: anyPort},
    store: {endpoints: [spec.store]},
    seeds: {addresses: [...spec.seeds]},
    access: {node_key: nodeKey, operator_token: operatorToken},
  });
  const started = await MeshNode.start({...file, nodeKey, operatorToken});
  if (started.isErr) throw started.error;
  nodes.set(spec.id, started.value);
  return started.value.addresses();
}

function versionOf(node: MeshNode): number {
  return node.parts.distribution.current()?.version ?? 0;
}

async function wireBytes(node: MeshNode): Promise<NodeUsage> {
  const text = await node.parts.metrics.render();
  const kinds = [...text.matchAll(kindLine)];
  const usage = {
    control: {sent: 0, received: 0},
    call: {sent: 0, received: 0},
    sentByKind: Object.fromEntries(
      kinds.map(([, kind, bytes]) => [kind, Number(bytes)]),
    ) as Record<string, number>,
  };
  for (const [, traffic, direction, value] of text.matchAll(bytesLine)) {
    const counts = usage[traffic as 'control' | 'call'];
    counts[direction as 'sent' | 'received'] = Number(value);
  }
  return usage;
}

/** Passes bytes on: what two processes cost without the data path. */
async function startRelay(target: string): Promise<string> {
  const [host, port] = target.split(':');
  const server = net.createServer(socket => {
    const other = net.connect({host, port: Number(port), noDelay: true});
    socket.setNoDelay(true);
    socket.pipe(other).pipe(socket);
    for (const end of [socket, other]) {
      end.on('error', () => {
        socket.destroy();
        other.destroy();
      });
    }
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const commands: HostCommands = {
  start: async specs => {
    const started: NodeAddresses[] = [];
    for (const spec of specs) started.push(await startNode(spec));
    return started;
  },
  stop: async ids => {
    const stopping = ids.map(async id => {
      await nodes.get(id)?.stop();
    });
    await Promise.all(stopping);
    for (const id of ids) nodes.delete(id);
  },
  awaitVersion: async ({version, timeoutMs}) => {
    const endAt = Date.now() + timeoutMs;
    const waiting = new Set(nodes.values());
    let lastAt = 0;
    while (waiting.size > 0 && Date.now() < endAt) {
      for (const node of waiting) {
        if (versionOf(node) < version) continue;
        waiting.delete(node);
        lastAt = Date.now();
      }
      if (waiting.size > 0) await sleep(pollMs);
    }
    return {lastAt, missing: waiting.size};
  },
  members: () =>
    Promise.resolve(
      [...nodes.values()].map(
        node =>
          node.parts.membership.live().filter(row => row.state === 'alive')
            .length,
      ),
    ),
  candidates: () =>
    Promise.resolve(
      [...nodes.values()].map(
        node =>
          node.parts.membership
            .live()
            .filter(row => row.upstream?.state === 'ready').length,
      ),
    ),
  bytes: () => Promise.all([...nodes.values()].map(wireBytes)),
  process: () => {
    const {user, system} = process.cpuUsage();
    const {rss, heapUsed} = process.memoryUsage();
    return Promise.resolve({cpuMs: (user + system) / 1_000, rss, heapUsed});
  },
  longestBlock: () => {
    const longestMs = loopDelay.max / nsPerMs - delayResolutionMs;
    loopDelay.reset();
    return Promise.resolve(Math.max(0, longestMs));
  },
  collect: () => {
    globalThis.gc?.();
    return Promise.resolve();
  },
  relay: startRelay,
};

interface Request {
  readonly id: number;
  readonly name: keyof HostCommands;
  readonly body: never;
}

loopDelay.enable();
process.on('message', (req: Request) => {
  commands[req.name](req.body).then(
    value => process.send?.({id: req.id, value}),
    (err: unknown) => process.send?.({id: req.id, error: String(err)}),
  );
});
process.once('disconnect', () => process.exit(0));
