import {SeededRandom} from './decisions-random.js';
import type {Timeline} from './decisions-timeline.js';
import {
  drawRequest,
  type SimulatedRequest,
  type Demand,
} from './decisions-workload.js';

/**
 * Schedules an organisation's requests as a Poisson process at the peak rate, thinned
 * to the current rate, so that a seed draws the same requests under all policies.
 *
 * @param until Time of the last arrival, in milliseconds.
 * @param offer Receives each request when it arrives.
 */
export function scheduleArrivals(
  demand: Demand,
  seed: number,
  timeline: Timeline,
  until: number,
  offer: (request: SimulatedRequest, now: number) => void,
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
