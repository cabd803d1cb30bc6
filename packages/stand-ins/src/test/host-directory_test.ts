import {ListedState} from '@wisteriadeal/platform';
import {expect, test} from 'vitest';

import {HostDirectory} from '../host-directory.js';
import {FakeClock} from '../index.js';

function listing(endpoint: string) {
  return {hosts: [], endpoints: [{endpoint, state: ListedState.Live}]};
}

test('a change of the listing is visible only after the delay', async () => {
  const clock = new FakeClock();
  const directory = new HostDirectory(clock, 1_000);
  directory.set('', listing('one'));
  directory.set('', listing('two'));
  expect(directory.read('any')).toEqual(listing('one'));
  await clock.advance(999);
  expect(directory.read('any')).toEqual(listing('one'));
  await clock.advance(1);
  expect(directory.read('any')).toEqual(listing('two'));
});

test('a listing for one viewer overrides the default', () => {
  const directory = new HostDirectory(new FakeClock(), 0);
  directory.set('', listing('for all'));
  directory.set('host-1', listing('for host-1'));
  expect(directory.read('host-1')).toEqual(listing('for host-1'));
  expect(directory.read('host-2')).toEqual(listing('for all'));
});
