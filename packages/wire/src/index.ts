/**
 * Framed connections between nodes.
 *
 * @packageDocumentation
 */
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
  StreamHandler,
  StreamListener,
  TrafficClass,
} from './peer-bus.js';
