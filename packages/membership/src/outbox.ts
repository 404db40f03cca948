import type {GossipAction, GossipMessage} from './messages.js';

/** Collects the messages that one protocol step sends. @internal */
export class Outbox {
  #actions: GossipAction[] = [];

  send(to: string, message: GossipMessage): void {
    this.#actions.push({to, message});
  }

  flush(): GossipAction[] {
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }
}
