import assert from 'node:assert/strict';
import {Before, Then, When} from '@cucumber/cucumber';
import {SubCallRoutes} from './sub-call-routes.js';

const route = 'lookup';
let routes = new SubCallRoutes();

Before({tags: '@routing'}, () => {
  routes = new SubCallRoutes();
});

When(
  '{int} calls on a route enter at nodes of {string}',
  (count: number, service: string) => {
    for (let i = 0; i < count; i++) routes.record(route, service);
  },
);

Then('the route is classified as a sub-call route', () => {
  assert.equal(routes.isSubCall(route), true);
});

Then('the route is not classified as a sub-call route', () => {
  assert.equal(routes.isSubCall(route), false);
});
