/**
 * The node: settings, listeners, data path, protocols and admin API.
 *
 * @packageDocumentation
 */
export {MeshNode} from './mesh-node.js';
export type {NodeAddresses} from './mesh-node.js';
export {loadSettings} from './settings/load-settings.js';
export {nodeSettingsSchema} from './settings/node-settings.js';
export type {NodeSettings, NodeSettingsFile} from './settings/node-settings.js';
