import {Result} from 'true-myth';
import type {AdminContext} from './admin-context.js';
import {ADMISSION} from './admin-route.js';
import type {AdminRoute} from './admin-route.js';

/** Routes for metrics, health checks and upstream announcements. @internal */
export function healthRoutes(ctx: AdminContext): AdminRoute[] {
  return [
    {
      method: 'GET',
      path: '/metrics',
      admission: ADMISSION.open,
      handle: async () =>
        Result.ok({
          contentType: ctx.metrics.contentType,
          text: await ctx.metrics.render(),
        }),
    },
    {
      method: 'GET',
      path: '/healthz',
      admission: ADMISSION.open,
      handle: () =>
        Promise.resolve(
          Result.ok({ready: ctx.distribution.current() !== null}),
        ),
    },
    {
      method: 'POST',
      path: '/announce',
      admission: ADMISSION.loopback,
      handle: ({body}) => Promise.resolve(ctx.membership.announce(body)),
    },
  ];
}
