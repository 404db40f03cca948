/**
 * Framed connections between nodes.
 *
 * @packageDocumentation
 */
export {isPeerAddress} from './bus-options.js';
export type {TcpPeerBusOptions, WireTls} from './bus-options.js';
export {ChunkList, smallChunkBytes} from './chunk-list.js';
export {FIRST_STREAM_BYTES} from './mux-stream.js';
export {TcpPeerBus} from './tcp-peer-bus.js';
export {TRAFFIC_CLASSES} from './peer-bus.js';
export type {
  ByteCounts,
  ByteStream,
  NoticeHandler,
  PeerAddress,
  PeerBus,
  PeerContext,
  RequestHandler,
  RequestOptions,
  StreamOptions,
  StreamHandler,
  StreamListener,
  TrafficClass,
} from './peer-bus.js';
