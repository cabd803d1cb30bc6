import {WithdrawWhileOverloaded} from '@wisteriadeal/decisions';
import {EventLog} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {beforeEach, describe, expect, it} from 'vitest';

import {HostRotation} from '../host-rotation.js';

let now: number;
let lines: Record<string, unknown>[];
let rotation: HostRotation;
let maximumAbsenceMilliseconds: number;

function observe(isOverloaded: boolean): void {
  now += 200;
  rotation.observe({
    isLinkOverloaded: isOverloaded,
    isLoopSaturated: false,
    connections: 0,
  });
}

beforeEach(() => {
  now = 0;
  lines = [];
  maximumAbsenceMilliseconds = Infinity;
  rotation = new HostRotation({
    policy: new WithdrawWhileOverloaded(),
    events: EventLog.create(LogLevel.INFO, {}, line => {
      lines.push(JSON.parse(line) as Record<string, unknown>);
    }),
    now: () => now,
    fraction: () => 0.5,
    loopAllowance: () => ({
      maximumAbsenceMilliseconds,
      listedHosts: 5,
      listAgeMilliseconds: 0,
      isStoreUnavailable: false,
    }),
  });
});

describe('HostRotation', () => {
  it('closes connections after two probes were answered not ready', () => {
    // Guards against callers that reconnect to the overloaded host because the
    // load balancer still has it in rotation.
    observe(true);
    expect(rotation.acceptsConnections).toBe(false);
    rotation.recordProbe(false);
    now += 1_000;
    observe(true);
    expect(rotation.closesConnections).toBe(false);
    rotation.recordProbe(false);
    observe(true);
    expect(rotation.closesConnections).toBe(true);
  });

  it('closes more and more connections while the overload lasts', () => {
    // Guards against all callers moving to the next host at once.
    observe(true);
    now += 3_000;
    observe(true);
    expect(rotation.drawsClose()).toBe(false);
    now += 900;
    expect(rotation.drawsClose()).toBe(true);
  });

  it('logs each change of state once', () => {
    observe(false);
    observe(true);
    observe(true);
    expect(lines).toMatchObject([
      {event: 'rotation state changed', from: 'serving', to: 'withdrawing'},
    ]);
  });

  it('leaves and says why when only the event loop has no capacity left', () => {
    // Guards against late answers at a host whose link is free.
    rotation.observe({
      isLinkOverloaded: false,
      isLoopSaturated: true,
      connections: 0,
    });
    expect(rotation.acceptsConnections).toBe(false);
    expect(rotation.isLoopSaturated).toBe(true);
    expect(lines).toMatchObject([
      {isLinkOverloaded: false, isLoopSaturated: true},
    ]);
  });

  it('stays while it has no turn, and returns when its turn ends', () => {
    // Guards against a data centre whose saturated hosts leave together.
    const saturated = {
      isLinkOverloaded: false,
      isLoopSaturated: true,
      connections: 0,
    };
    maximumAbsenceMilliseconds = 0;
    rotation.observe(saturated);
    rotation.observe(saturated);
    expect(rotation.acceptsConnections).toBe(true);
    expect(lines).toMatchObject([{event: 'saturated host stays in rotation'}]);
    maximumAbsenceMilliseconds = 4_000;
    rotation.observe(saturated);
    expect(rotation.acceptsConnections).toBe(false);
    maximumAbsenceMilliseconds = 0;
    now += 2_000;
    rotation.observe(saturated);
    expect(rotation.acceptsConnections).toBe(true);
  });

  it('leaves without a turn for a full link', () => {
    maximumAbsenceMilliseconds = 0;
    observe(true);
    expect(rotation.acceptsConnections).toBe(false);
  });
});
