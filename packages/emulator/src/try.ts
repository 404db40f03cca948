import type {EmulatedCall} from './emulated-call.js';
import type {EmulatedNode} from './emulated-node.js';

/** One try of a call at one instance. @internal */
export interface Try {
  readonly call: EmulatedCall;
  readonly target: EmulatedNode;
  readonly sentAt: number;
  /** Processes of the entry node and of the target when it was sent. */
  readonly processes: readonly [entry: number, target: number];
  /** Time at which it asked for a slot. */
  enteredAt: number;
  startedAt: number;
}

/** Whether a node that the answer needs has ended meanwhile. @internal */
export function isLost({call, target, processes}: Try): boolean {
  const [entry, serving] = processes;
  const {process} = call.entry.processor;
  return process !== entry || target.processor.process !== serving;
}
