import type {Route} from '@verbenabeam/document';

/** Routes of which only upstreams make calls, as instances have reported. @internal */
export class RouteCallers {
  /** By object, so that a new configuration begins without reports. */
  readonly #subCallRoutes = new WeakSet<Route>();

  record(route: Route, isSubCall: boolean): void {
    if (isSubCall) this.#subCallRoutes.add(route);
    else this.#subCallRoutes.delete(route);
  }

  isSubCall(route: Route): boolean {
    return this.#subCallRoutes.has(route);
  }
}
