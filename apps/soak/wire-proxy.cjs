/**
 * Loaded into each node before its program. Connections come from the address of
 * the node, so that proxies can tell the nodes apart, and those to the wire
 * address of another node go to the proxy in front of it.
 */
const net = require('node:net');
const process = require('node:process');

const {SOAK_OWN_ADDRESS: ownAddress, SOAK_WIRE_PORT: wirePort} = process.env;
/** Third number of a node's address, and of the address of its proxy. */
const nodeNet = /^(127\.\d+)\.2\./;
const proxyNet = '$1.3.';

const {connect} = net.Socket.prototype;
net.Socket.prototype.connect = function (...args) {
  const [first] = args;
  const options = Array.isArray(first) ? first[0] : first;
  if (options?.port !== undefined && options.host?.startsWith('127.')) {
    options.localAddress = ownAddress;
    if (String(options.port) === wirePort) {
      options.host = options.host.replace(nodeNet, proxyNet);
    }
  }
  return connect.apply(this, args);
};
