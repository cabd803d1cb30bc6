import {
  DemandDivision,
  placesIn,
  type Allotment,
  type PlaceDivision,
  type PlaceReport,
} from '@wisteriadeal/decisions';
import {NetworkTimeout, type Clock} from '@wisteriadeal/platform';

import type {PlaceTimes} from './place-times.js';

/** Longest time for which a report waits for places, milliseconds. */
const MAXIMUM_WAIT_MILLISECONDS = 150;

/** Reports that are tried in vain before those behind them are left to wait. */
const MAXIMUM_FRUITLESS_DIVISIONS = 4;

/** A report whose host waits for places. */
interface WaitingReport {
  readonly report: PlaceReport;
  readonly answer: (allotment: Allotment) => void;
}

/** Divides the places of a service among the hosts that report to this one. */
export class PlaceDivider {
  private readonly division: PlaceDivision;
  private readonly waiting = new Set<WaitingReport>();

  constructor(
    private readonly times: () => PlaceTimes,
    private readonly clock: Clock,
  ) {
    this.division = new DemandDivision(times);
  }

  /** Whether the hosts need more places than there are. */
  get isShort(): boolean {
    return this.division.isShort;
  }

  /** Whether hosts should give free places back at once. */
  get isTight(): boolean {
    return this.division.isTight;
  }

  /** Whether a host has handed its places over to this one. */
  hasReport(host: string): boolean {
    return this.division.hasReport(host, this.now());
  }

  /**
   * Takes a report, and resolves with what its host may use. The answer waits for places
   * that others give back if the host needs some and none is free.
   */
  async receive(report: PlaceReport): Promise<Allotment> {
    const allotment = this.division.report(report, this.now());
    this.answerWaiting();
    if (report.waiting === 0 || hasMore(report, allotment)) {
      return allotment;
    }
    const limit = Math.min(
      MAXIMUM_WAIT_MILLISECONDS,
      this.times().renewalMilliseconds,
    );
    return await new Promise(resolve => {
      const timeout = new NetworkTimeout(limit, () => {
        waiting.answer(this.division.divide(report.host, this.now()));
      });
      const waiting: WaitingReport = {
        report,
        answer: more => {
          timeout.close();
          this.waiting.delete(waiting);
          resolve(more);
        },
      };
      this.waiting.add(waiting);
    });
  }

  private answerWaiting(): void {
    let fruitless = 0;
    for (const {report, answer} of [...this.waiting]) {
      const allotment = this.division.divide(report.host, this.now());
      if (hasMore(report, allotment)) {
        answer(allotment);
      } else if (++fruitless === MAXIMUM_FRUITLESS_DIVISIONS) {
        return;
      }
    }
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}

/** Whether a host may use a place that none of its requests has. */
function hasMore({endpoints}: PlaceReport, allotment: Allotment): boolean {
  const running = endpoints.reduce((sum, use) => sum + use.running, 0);
  return placesIn(allotment) > running;
}
