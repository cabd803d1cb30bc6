import {DataCenterCircuitBreaker} from '@wisteriadeal/decisions';
import {expect, it} from 'vitest';

import {EndpointConnectionPool} from '../endpoint-connection-pool.js';
import type {EndpointEntry} from '../endpoint-entry.js';
import {DirectPath} from '../endpoint-path.js';
import {KnownEndpoint} from '../known-endpoint.js';
import {StreamBinding} from '../stream-origins/index.js';

const V1 = {service: 'models', build: 'v1'};
const OPENED_AT = 1_000;

const path = new DirectPath(
  new EndpointConnectionPool(),
  new DataCenterCircuitBreaker('a'),
);

function run() {
  const endpoint = new KnownEndpoint({id: 'i-1', ...V1} as EndpointEntry);
  return {endpoint, path, openSince: OPENED_AT};
}

function takenUp(): StreamBinding {
  return new StreamBinding(V1, () => undefined);
}

it('passes events of a stream that goes on once the list was read after the connection was opened', () => {
  // Guards against the listed build being taken for what answers before the list can tell.
  const {endpoint, ...rest} = run();
  const binding = takenUp();
  endpoint.wasListed(OPENED_AT - 1);
  expect(binding.mayPassOn({endpoint, ...rest})).toBe(undefined);
  endpoint.wasListed(OPENED_AT);
  expect(binding.mayPassOn({endpoint, ...rest})).toBe(true);
});

it('passes events after the loss of all connections once another start had time for an entry', () => {
  // Guards against a new start of the endpoint whose entry follows.
  const {endpoint, ...rest} = run();
  const binding = takenUp();
  endpoint.connectionsLost(OPENED_AT - 1);
  endpoint.wasListed(OPENED_AT + 1);
  expect(binding.mayPassOn({endpoint, ...rest})).toBe(undefined);
  endpoint.wasListed(OPENED_AT + 499);
  expect(binding.mayPassOn({endpoint, ...rest})).toBe(undefined);
  endpoint.wasListed(OPENED_AT + 500);
  expect(binding.mayPassOn({endpoint, ...rest})).toBe(true);
});

it('passes no events once the list has a start with another build', () => {
  // Guards against a wait for what is known already.
  const {endpoint, ...rest} = run();
  endpoint.isReplacedByOther = true;
  expect(takenUp().mayPassOn({endpoint, ...rest})).toBe(false);
});

it('passes events once the list has another start with the same build', () => {
  // Guards against streams that are cut for another start of the same software.
  const {endpoint, ...rest} = run();
  endpoint.connectionsLost(OPENED_AT - 1);
  endpoint.isReplacedByEqual = true;
  expect(takenUp().mayPassOn({endpoint, ...rest})).toBe(true);
});

it('passes the first event of a stream at once', () => {
  // Guards against delays of streams that have nothing to be joined with.
  const binding = new StreamBinding(undefined, () => undefined);
  expect(binding.mayPassOn(run())).toBe(true);
});

it('joins no events to those of an endpoint that may have had another build', () => {
  // Guards against first events whose build turns out later.
  const first = run();
  const next = run();
  const binding = new StreamBinding(undefined, () => undefined);
  binding.bind(first);
  next.endpoint.wasListed(OPENED_AT);
  expect(binding.mayPassOn(next)).toBe(undefined);
  first.endpoint.isReplacedByOther = true;
  expect(binding.mayPassOn(next)).toBe(false);
});

it('goes by the list as it is while it can not be read', () => {
  // Guards against streams that are cut for as long as the store is away.
  const {endpoint, ...rest} = run();
  const binding = new StreamBinding(
    V1,
    () => undefined,
    () => false,
  );
  expect(binding.mayPassOn({endpoint, ...rest})).toBe(true);
});
