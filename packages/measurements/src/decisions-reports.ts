import type {EngineLoadReport} from '@wisteriadeal/decisions';

import type {ModelledEngine} from './decisions-engine.js';
import {SeededRandom} from './decisions-random.js';
import type {ReportBehaviour} from './decisions-scenario.js';
import type {Timeline} from './decisions-timeline.js';

function reportOf(
  engine: ModelledEngine,
  isLost: () => boolean,
): EngineLoadReport {
  const report = {
    running: engine.runningCount,
    waiting: engine.waitingCount,
    slots: engine.model.slots,
    leaving: false,
    cachedPrefixes: engine.unreportedHashes.filter(() => !isLost()),
    cacheSequence: engine.cacheSequence,
  };
  engine.unreportedHashes = [];
  return report;
}

/**
 * Schedules an engine's load reports, delayed and with a share of the cache events lost.
 *
 * @param until Time of the last report, in milliseconds.
 * @param deliver Receives each report when it arrives.
 */
export function scheduleReports(
  engine: ModelledEngine,
  behaviour: ReportBehaviour,
  seed: number,
  timeline: Timeline,
  until: number,
  deliver: (report: EngineLoadReport, now: number) => void,
): void {
  const {intervalMilliseconds, lagMilliseconds, lostCacheEventShare} =
    behaviour;
  const random = new SeededRandom(seed, engine.model.endpoint);
  const send = (now: number) => {
    if (now > until) {
      return;
    }
    const report = reportOf(
      engine,
      () => random.fraction() < lostCacheEventShare,
    );
    timeline.schedule(now + lagMilliseconds, at => {
      deliver(report, at);
    });
    timeline.schedule(now + intervalMilliseconds, send);
  };
  timeline.schedule(random.fraction() * intervalMilliseconds, send);
}
