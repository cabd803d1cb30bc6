import {describe, expect, it} from 'vitest';

import {
  EventLimit,
  FillerLimit,
  FramingLimit,
  FRAMING_BYTES,
  InputBreach,
  MAXIMUM_EVENT_BYTES,
  PART_MILLISECONDS,
} from '../input-limits/index.js';

describe('the limit of what is not the body', () => {
  it('lets a long stream of one-byte chunks pass', () => {
    // Guards against whole answers that are cut for their framing.
    const limit = new FramingLimit();
    for (let body = 0; body < 1_000_000; body += 1_000) {
      expect(limit.arrived({total: 300 + 6 * body, body}, body)).toBe(
        undefined,
      );
    }
  });

  it('counts the time of one part, and no pause between parts', () => {
    // Guards against endpoints that are cut while they work or a caller reads slowly.
    const limit = new FramingLimit();
    limit.arrived({total: 25, body: 0}, 0);
    limit.restartTime();
    const late = 10 * PART_MILLISECONDS;
    expect(limit.arrived({total: 50, body: 0}, late)).toBe(undefined);
    expect(
      limit.arrived({total: 60, body: 0}, late + PART_MILLISECONDS + 1),
    ).toBe(InputBreach.FramingTime);
  });

  it('ends what exceeds its size', () => {
    // Guards against memory and time spent on bytes that are no answer.
    const breach = new FramingLimit().arrived(
      {total: FRAMING_BYTES + 1, body: 0},
      0,
    );
    expect(breach).toBe(InputBreach.FramingBytes);
  });
});

describe('the limit of an event', () => {
  it('begins again with each event', () => {
    // Guards against streams that are cut because each read ends inside an event.
    const limit = new EventLimit();
    for (let now = 0; now < 4 * PART_MILLISECONDS; now += 1_000) {
      expect(limit.arrived(10, true, now)).toBe(undefined);
    }
    expect(limit.arrived(MAXIMUM_EVENT_BYTES + 1, false, 0)).toBe(
      InputBreach.EventBytes,
    );
  });
});

describe('the limit of what is no event', () => {
  it('lets a comment pass every 15 s for hours', () => {
    // Guards against streams that are cut while comments keep their connections open.
    const limit = new FillerLimit();
    for (let seconds = 0; seconds < 4 * 3_600; seconds += 15) {
      expect(limit.arrived({fillerBytes: 14, numberedBytes: 0})).toBe(
        undefined,
      );
    }
  });

  it('lets numbered events pass without end', () => {
    // Guards against sound streams that are cut for their length.
    const limit = new FillerLimit();
    for (let events = 0; events < 1_000_000; events += 1_000) {
      expect(limit.arrived({fillerBytes: 100_000, numberedBytes: 8_000})).toBe(
        undefined,
      );
    }
  });

  it('ends tiny pieces without a number', () => {
    // Guards against time spent on bytes that are no answer.
    const limit = new FillerLimit();
    limit.arrived({fillerBytes: FRAMING_BYTES, numberedBytes: 0});
    expect(limit.arrived({fillerBytes: 2, numberedBytes: 0})).toBe(
      InputBreach.FillerBytes,
    );
  });
});
