import {
  EndpointStarts,
  StartVerdict,
  type EndpointStart,
} from '@wisteriadeal/decisions';

import type {EndpointDirectory} from '../endpoint-directory.js';
import type {KnownEndpoint} from '../known-endpoint.js';
import type {FirstRun} from './stream-binding.js';

/** A run that began a stream at an endpoint that may have started again by then. */
export interface UnconfirmedRun {
  /** Digest of the stream. */
  readonly stream: string;
  /** The start of the endpoint that the list named. */
  readonly start: EndpointStart;
  /**
   * Time since which what answered has been running, at the latest; monotonic clock,
   * milliseconds.
   */
  readonly openSince: number;
  /** Monotonic clock, milliseconds. */
  readonly keptUntil: number;
  /** The run itself; undefined if it was another host's. */
  readonly run: FirstRun | undefined;
}

/** Maximum number of runs at one endpoint; a lost store renews no entries. */
const MAXIMUM_RUNS = 1_000;
/** Number of oldest runs that are examined each time one is added. */
const EXAMINED_RUNS = 4;

/**
 * Runs whose connections were opened after the latest entries of their endpoints were
 * written. The list, as this host reads it, confirms or refutes them.
 */
export class UnconfirmedRuns {
  private readonly starts = new EndpointStarts();
  /** By identifier of the endpoint, then by stream. */
  private readonly runs = new Map<string, Map<string, UnconfirmedRun>>();
  /** Identifiers of endpoints by stream. */
  private readonly endpoints = new Map<string, string>();

  /** @param onRefuted Called with a run that another service or build may have served. */
  constructor(
    directory: EndpointDirectory,
    private readonly onRefuted: (run: UnconfirmedRun) => void,
  ) {
    directory.onListed(({entry}) => {
      if (this.starts.listed(entry)) {
        this.judgeAll(entry.id);
      }
    });
    directory.onHeartbeat(({entry}, writtenAfter) => {
      this.starts.renewed(entry, writtenAfter);
      this.judgeAll(entry.id);
    });
    directory.onGone(endpoint => {
      this.endpointGone(endpoint);
    });
  }

  /** Keeps a run until the list tells, unless it does already. */
  add(run: UnconfirmedRun, now: number): StartVerdict {
    const {start, stream, openSince} = run;
    const verdict = this.starts.judge(start, openSince);
    if (verdict === StartVerdict.Open && this.find(stream) === undefined) {
      const runs = this.runs.get(start.id) ?? new Map<string, UnconfirmedRun>();
      this.runs.set(start.id, runs);
      runs.set(stream, run);
      this.endpoints.set(stream, start.id);
      this.dropOld(runs, now);
    }
    return verdict;
  }

  /** The run that began a stream, if it is neither confirmed nor refuted. */
  find(stream: string): UnconfirmedRun | undefined {
    const id = this.endpoints.get(stream);
    return id === undefined ? undefined : this.runs.get(id)?.get(stream);
  }

  private judgeAll(id: string): void {
    for (const run of [...(this.runs.get(id)?.values() ?? [])]) {
      const verdict = this.starts.judge(run.start, run.openSince);
      if (verdict !== StartVerdict.Open) {
        this.delete(run.stream);
      }
      if (verdict === StartVerdict.Refuted) {
        this.onRefuted(run);
      }
    }
  }

  /** What this host itself saw of an endpoint may tell before the list does. */
  private endpointGone(endpoint: KnownEndpoint): void {
    const {id} = endpoint.entry;
    for (const unconfirmed of [...(this.runs.get(id)?.values() ?? [])]) {
      const {run, stream} = unconfirmed;
      const isOwn = run?.endpoint === endpoint;
      if (
        isOwn &&
        run.path.originOf(run.endpoint, run.openSince) === undefined
      ) {
        this.delete(stream);
        this.onRefuted(unconfirmed);
      }
    }
  }

  private dropOld(runs: Map<string, UnconfirmedRun>, now: number): void {
    const [oldest] = runs.keys();
    if (oldest !== undefined && runs.size > MAXIMUM_RUNS) {
      this.delete(oldest);
    }
    let examined = 0;
    for (const stream of this.endpoints.keys()) {
      if ((this.find(stream)?.keptUntil ?? -Infinity) < now) {
        this.delete(stream);
      }
      if (++examined >= EXAMINED_RUNS) {
        return;
      }
    }
  }

  private delete(stream: string): void {
    const id = this.endpoints.get(stream);
    const runs = id === undefined ? undefined : this.runs.get(id);
    this.endpoints.delete(stream);
    runs?.delete(stream);
    if (id !== undefined && runs?.size === 0) {
      this.runs.delete(id);
    }
  }
}
