import {describe, expect, it} from 'vitest';

import {ReturningCallers, SendAll, ShareAdmission} from '../admission/index.js';
import {AdmissionReplay, type AdmissionScenario} from './admission-replay.js';

const play = (scenario: Omit<AdmissionScenario, 'create' | 'seed'>) =>
  new AdmissionReplay({
    ...scenario,
    seed: 11,
    create: fraction => new ShareAdmission(fraction),
  }).run();

describe('admission to engines that get more than they can begin in time', () => {
  // Guards against engines that work on requests that are late before they begin.
  it.each([
    {hosts: 3, inTime: 400},
    {hosts: 24, inTime: 370},
    {hosts: 65, inTime: 260},
    {hosts: 3, burst: 2.4, inTime: 350},
    {hosts: 24, burst: 2.4, inTime: 260},
    {hosts: 65, burst: 2.4, inTime: 150},
    {hosts: 24, comeBack: true, inTime: 370},
  ])('keeps the urgent ones in time: %j', ({inTime, ...scenario}) => {
    const {urgent, long} = play(scenario);
    expect(urgent.inTime).toBeGreaterThan(0.98 * urgent.arrived);
    expect(long.inTime).toBeGreaterThan(inTime);
    expect(long.held).toBeLessThan(0.01 * long.arrived);
  });

  it('would begin few in time if everything were sent', () => {
    const create = () => new SendAll();
    const {long} = new AdmissionReplay({hosts: 24, seed: 11, create}).run();
    expect(long.inTime).toBeLessThan(140);
    expect(long.held).toBeGreaterThan(400);
  });

  it.each([3, 24, 65, 195])(
    'refuses nothing at 73 %% load: %d hosts',
    hosts => {
      // Guards against refusals by hosts whose few requests are no evidence.
      const {urgent, long} = play({hosts, burst: 0.2});
      expect(urgent.refused).toBe(0);
      expect(long.refused).toBeLessThan(0.01 * long.arrived);
    },
  );

  it('serves others before an organisation at three times its usage', () => {
    // Guards against one organisation that takes the room of all others.
    const {long, heavy} = play({hosts: 3, heavyUsage: 3});
    const others = long.inTime - heavy.inTime;
    expect(others / (long.arrived - heavy.arrived)).toBeGreaterThan(
      (1.2 * heavy.inTime) / heavy.arrived,
    );
  });
});

describe('ReturningCallers', () => {
  it('recognises a limit clearly below the usual one', () => {
    // Guards against callers that are refused again before others were once.
    const callers = new ReturningCallers();
    for (let index = 0; index < 16; index++) {
      callers.isReturning('route', 4_000 - index);
    }
    expect(callers.isReturning('route', 3_900)).toBe(false);
    expect(callers.isReturning('route', 3_000)).toBe(true);
    expect(callers.isReturning('other', 3_000)).toBe(false);
  });
});
