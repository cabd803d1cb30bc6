import {HostShortage} from '@wisteriadeal/platform';
import {EventLog} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {FakeClock} from '@wisteriadeal/stand-ins';
import {expect, it} from 'vitest';

import {ShortageLog} from '../shortage-log.js';

it('logs one line a second for each shortage, which counts all failed connects', async () => {
  const clock = new FakeClock();
  const lines: string[] = [];
  const shortages = new ShortageLog({
    clock,
    events: EventLog.create(LogLevel.INFO, {}, line => lines.push(line)),
    describeHost: () => ({callers: 7}),
  });
  const fail = (shortage: HostShortage) => {
    shortages.record(shortage, {endpoint: 'i-1', reason: 'connect EMFILE'});
  };
  fail(HostShortage.Descriptor);
  fail(HostShortage.Descriptor);
  fail(HostShortage.Port);
  fail(HostShortage.Descriptor);
  await clock.advance(1_000);
  fail(HostShortage.Descriptor);
  expect(lines.map(line => JSON.parse(line) as unknown)).toMatchObject([
    {shortage: 'no-descriptor', failures: 1, endpoint: 'i-1', callers: 7},
    {shortage: 'no-port', failures: 1},
    {shortage: 'no-descriptor', failures: 3},
  ]);
});
