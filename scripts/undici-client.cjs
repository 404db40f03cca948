/**
 * The part of undici that the bundle uses. Its index loads fetch, WebSocket and
 * more, which a node does not need and which double the time to load it.
 */
const {URL} = require('node:url');
const api = require('undici/lib/api/index.js');
const buildConnector = require('undici/lib/core/connect.js');
const Agent = require('undici/lib/dispatcher/agent.js');
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const Pool = require('undici/lib/dispatcher/pool.js');

Object.assign(Dispatcher.prototype, api);

/** As undici's; the dispatcher and the method are required. */
function request(url, {dispatcher, ...options}) {
  const {origin, pathname, search} = new URL(url);
  return dispatcher.request({...options, origin, path: `${pathname}${search}`});
}

module.exports = {Agent, buildConnector, Pool, request};
