import {describe, expect, it} from 'vitest';

import {DataCenterTrust} from '../data-center-trust.js';
import {
  placeRequest,
  type PlacementCandidate,
} from '../shared-prompt-placement.js';

const OWN = 'kigali-a';
const OTHER = 'kigali-b';

function candidates(
  centers: DataCenterTrust,
  now: number,
): PlacementCandidate[] {
  return [OWN, OTHER, OTHER, OTHER].map((dataCenter, index) => ({
    id: `engine-${index}`,
    dataCenter,
    slots: 48,
    load: 0,
    isTrusted: centers.isTrusted(dataCenter, now),
  }));
}

describe('DataCenterTrust', () => {
  it('keeps all requests here once two endpoints over there are silent', () => {
    // The caller is answered by an engine of its own data centre. That was cut off from
    // the others, whose engines are homes of most prompts; each of them, tried in turn,
    // would cost a quarter of a second.
    const centers = new DataCenterTrust(OWN);
    centers.fellSilent(OTHER, 'engine-1', 100);
    expect(centers.isTrusted(OTHER, 101)).toBe(true);
    centers.fellSilent(OTHER, 'engine-2', 101);
    for (let part = 0; part < 20; part++) {
      const chosen = placeRequest(
        {sharedPart: `part-${part}`, dataCenter: OWN, avoided: new Set()},
        candidates(centers, 102),
      );
      expect(chosen?.dataCenter).toBe(OWN);
    }
  });

  it('tries it with one request after a pause, and believes its first word', () => {
    const centers = new DataCenterTrust(OWN);
    centers.fellSilent(OTHER, 'engine-1', 0);
    centers.fellSilent(OTHER, 'engine-2', 0);
    expect(centers.isTrusted(OTHER, 501)).toBe(true);
    centers.sent(OTHER);
    expect(centers.isTrusted(OTHER, 502)).toBe(false);
    centers.spoke(OTHER);
    expect(centers.isTrusted(OTHER, 503)).toBe(true);
  });

  it('is tried again where a trial told nothing', () => {
    // Load: the caller whose request tries it out leaves at once. Harm without it: the
    // data centre gets nothing for as long as this process lives.
    const centers = new DataCenterTrust(OWN);
    centers.fellSilent(OTHER, 'engine-1', 0);
    centers.fellSilent(OTHER, 'engine-2', 0);
    centers.sent(OTHER);
    centers.released(OTHER);
    expect(centers.isTrusted(OTHER, 600)).toBe(true);
  });

  it('does not take a crash for a cut while another endpoint there answers', () => {
    const centers = new DataCenterTrust(OWN);
    centers.fellSilent(OTHER, 'engine-1', 0);
    centers.spoke(OTHER);
    centers.fellSilent(OTHER, 'engine-2', 10);
    expect(centers.isTrusted(OTHER, 11)).toBe(true);
  });

  it('never gives its own data centre up', () => {
    const centers = new DataCenterTrust(OWN);
    centers.fellSilent(OWN, 'engine-1', 0);
    centers.fellSilent(OWN, 'engine-2', 0);
    expect(centers.isTrusted(OWN, 1)).toBe(true);
  });
});
