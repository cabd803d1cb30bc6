import {describe, expect, it} from 'vitest';

import {
  LittlesLaw,
  PriorityThreshold,
  ReturningCallers,
  SendAll,
  ShareAdmission,
} from '../admission/index.js';
import {AdmissionReplay, type AdmissionScenario} from './admission-replay.js';

const withFraction =
  <Rule>(Admission: new (fraction: () => number) => Rule) =>
  (fraction: () => number) =>
    new Admission(fraction);
const play = (scenario: Omit<AdmissionScenario, 'create' | 'seed'>) =>
  new AdmissionReplay({
    ...scenario,
    seed: 11,
    create: withFraction(ShareAdmission),
  }).run();

describe('admission to engines that get more than they can begin in time', () => {
  // Guards against engines that work on requests that are late before they begin. There
  // is room for 448 long requests, times the scale.
  it.each([
    {hosts: 3, atLeast: 420},
    {hosts: 9, atLeast: 420},
    {hosts: 24, atLeast: 370},
    {hosts: 65, atLeast: 250},
    {hosts: 65, scale: 2, atLeast: 620},
    {hosts: 195, scale: 6, atLeast: 1_800},
    {hosts: 3, burst: 2.4, atLeast: 400},
    {hosts: 24, burst: 2.4, atLeast: 260},
    {hosts: 65, scale: 2, burst: 2.4, atLeast: 460},
    {hosts: 24, comeBack: true, atLeast: 370},
  ])('begins them in time: %j', ({atLeast, ...scenario}) => {
    const {urgent, long} = play(scenario);
    expect(urgent.inTime).toBeGreaterThan(0.98 * urgent.arrived);
    expect(long.inTime).toBeGreaterThan(atLeast);
    expect(long.held).toBeLessThan(0.01 * long.arrived);
  });

  it.each([
    {rule: 'everything were sent', create: () => new SendAll()},
    {rule: "Little's law decided", create: withFraction(LittlesLaw)},
    {rule: 'a threshold decided', create: withFraction(PriorityThreshold)},
  ])('would begin fewer in time at 65 hosts if $rule', ({create}) => {
    const {long} = new AdmissionReplay({hosts: 65, seed: 11, create}).run();
    expect(long.inTime).toBeLessThan(230);
  });

  it.each([{hosts: 3}, {hosts: 65, scale: 2}, {hosts: 195, scale: 6}])(
    'refuses almost nothing at a load of 0.73: %j',
    scenario => {
      // Guards against refusals by hosts whose few requests are no evidence.
      const {urgent, long} = play({...scenario, burst: 0.2});
      expect(urgent.refused).toBe(0);
      expect(long.refused + long.held).toBeLessThan(0.01 * long.arrived);
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
