import type {KnownEndpoint} from '../known-endpoint.js';
import type {FirstRun} from './stream-binding.js';

/** A run that began a stream. */
export interface RecentRun {
  /** Digest of the stream. */
  readonly stream: string;
  readonly run: FirstRun;
  /** Monotonic clock, milliseconds. */
  readonly keptUntil: number;
}

/** Maximum number of runs at one endpoint; a lost store renews no entries. */
const MAXIMUM_RUNS = 1_000;

/** Runs whose connections were opened after the latest entries of their endpoints were written. */
export class RecentRuns {
  private readonly runs = new Map<string, RecentRun[]>();

  add(recent: RecentRun): void {
    const {incarnation} = recent.run.endpoint;
    const runs = this.runs.get(incarnation) ?? [];
    runs.push(recent);
    if (runs.length > MAXIMUM_RUNS) {
      runs.shift();
    }
    this.runs.set(incarnation, runs);
  }

  /** Drops the runs whose connections were opened while the endpoint was surely at work. */
  confirm(incarnation: string, aliveAt: number): void {
    const left = this.runs
      .get(incarnation)
      ?.filter(({run}) => run.openSince > aliveAt);
    if (left === undefined || left.length === 0) {
      this.runs.delete(incarnation);
    } else {
      this.runs.set(incarnation, left);
    }
  }

  /** Removes and returns the runs at an endpoint. */
  take({incarnation}: KnownEndpoint): readonly RecentRun[] {
    const runs = this.runs.get(incarnation) ?? [];
    this.runs.delete(incarnation);
    return runs;
  }
}
