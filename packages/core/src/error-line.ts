import type {MeshError} from './mesh-error.js';

/** The line with which a program reports an error. @public */
export function errorLine({code, message}: MeshError): string {
  return `error ${code.code} ${code.name}: ${message}`;
}
