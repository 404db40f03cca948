import type {EntryPorts} from './entry-ports.js';
import {EntryHandler} from './entry-handler.js';
import {ServingHandler} from './serving-handler.js';
import type {ServingPorts} from './serving-ports.js';

/** Dependencies of a {@link DataPath}. @internal */
export type DataPathPorts = Required<Omit<EntryPorts, 'serving'>> &
  Required<ServingPorts>;

/**
 * Both sides of the data path of a hosted node. Whatever implements the ports, the
 * handlers get objects of the same shapes: code that the warm-up has optimised holds for
 * real calls.
 *
 * @internal
 */
export class DataPath {
  readonly serving: ServingHandler;
  readonly entry: EntryHandler;

  constructor(ports: DataPathPorts) {
    const {ledger, protocol, scheduler, waits, invariants} = ports;
    const {config, versions, instances, upstream, quarantine, stopped} = ports;
    this.serving = new ServingHandler({
      upstream: {
        current: () => upstream.current(),
        markDown: reason => upstream.markDown(reason),
      },
      admission: ports.admission,
      quarantine: {
        get active() {
          return quarantine.active;
        },
        admit: (callId, print) => quarantine.admit(callId, print),
        ended: (callId, complete) => quarantine.ended(callId, complete),
        crashed: lost => quarantine.crashed(lost),
      },
      stopped: {
        isStopped: (service, version) => stopped.isStopped(service, version),
      },
      ledger,
      protocol,
      scheduler,
      waits,
      invariants,
    });
    this.entry = new EntryHandler({
      config: {
        current: () => config.current(),
        match: (snapshot, query) => config.match(snapshot, query),
      },
      versions: {
        choose: (snapshot, service, callId, exclude) =>
          versions.choose(snapshot, service, callId, exclude),
        onSent: (service, version) => versions.onSent(service, version),
      },
      instances: {
        pick: (service, version, exclude, limits) =>
          instances.pick(service, version, exclude, limits),
        began: target => instances.began(target),
        ended: outcome => instances.ended(outcome),
      },
      retries: ports.retries,
      ledger,
      claims: ports.claims,
      bus: ports.bus,
      serving: this.serving,
      observer: {onCall: record => ports.observer.onCall(record)},
      protocol,
      scheduler,
      waits,
      throttle: ports.throttle,
      random: ports.random,
      invariants,
    });
  }
}
