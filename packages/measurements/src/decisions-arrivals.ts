import {SeededRandom} from './decisions-random.js';
import type {Timeline} from './decisions-timeline.js';
import {
  drawRequest,
  type CallerRequest,
  type Demand,
} from './decisions-workload.js';

/**
 * Offers an organisation's requests: a Poisson process, thinned to the rate of
 * the moment, so that the same seed draws the same requests whatever the
 * policies are.
 */
export function scheduleArrivals(
  demand: Demand,
  seed: number,
  timeline: Timeline,
  until: number,
  offer: (request: CallerRequest, now: number) => void,
): void {
  const random = new SeededRandom(seed, demand.organisation);
  const arrive = (now: number) => {
    if (now > until) {
      return;
    }
    const request = drawRequest(demand, random);
    if (random.fraction() * demand.peakRate < demand.rate(now)) {
      offer(request, now);
    }
    scheduleNext(now);
  };
  const scheduleNext = (now: number) => {
    const gap = random.exponential(1_000 / demand.peakRate);
    timeline.schedule(now + gap, arrive);
  };
  scheduleNext(0);
}
