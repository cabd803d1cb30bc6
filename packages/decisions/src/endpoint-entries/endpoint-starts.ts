import {isSameOrigin, type StreamOrigin} from '../stream-origin.js';

/** One start of an endpoint, as the list names it. */
export interface EndpointStart extends StreamOrigin {
  /** Identifier of the endpoint, which its starts share. */
  readonly id: string;
  /** By the endpoint's own clock, milliseconds since 1970; 0 if not stated. */
  readonly bornAt: number;
}

/** Whether an endpoint had the listed service and build at a time. */
export enum StartVerdict {
  Confirmed = 'confirmed',
  /** Neither a renewed entry nor another start tells yet. */
  Open = 'open',
  /** It may have been a later start, with another service or build. */
  Refuted = 'refuted',
}

interface SeenStart {
  readonly start: EndpointStart;
  /** No later start answered before this time; monotonic clock, milliseconds. */
  aliveAt: number;
}

/** Maximum number of endpoints; those whose entries were renewed last are kept. */
const MAXIMUM_ENDPOINTS = 4_096;
const MAXIMUM_STARTS = 4;

/**
 * The starts of endpoints that the list has named, in their order. Times are of one
 * monotonic clock, milliseconds.
 *
 * @example
 * ```ts
 * starts.listed(first);
 * starts.renewed(first, 10);
 * starts.judge(first, 5); // StartVerdict.Confirmed
 * starts.judge(first, 20); // StartVerdict.Open
 * starts.listed({...first, bornAt: first.bornAt + 1, build: 'v2'});
 * starts.judge(first, 20); // StartVerdict.Refuted
 * ```
 */
export class EndpointStarts {
  private readonly endpoints = new Map<string, SeenStart[]>();

  /**
   * Records that the list names a start.
   *
   * @returns Whether it is another one than before.
   */
  listed(start: EndpointStart): boolean {
    const seen = this.endpoints.get(start.id) ?? [];
    const latest = seen.at(-1);
    if (latest !== undefined && isSameStart(latest.start, start)) {
      return false;
    }
    seen.push({start, aliveAt: -Infinity});
    if (seen.length > MAXIMUM_STARTS) {
      seen.shift();
    }
    this.keep(start.id, seen);
    return true;
  }

  /** Records that an entry of a start was written after a time. */
  renewed(start: EndpointStart, writtenAfter: number): void {
    const seen = this.endpoints.get(start.id) ?? [];
    const renewed = seen.find(other => isSameStart(other.start, start));
    if (renewed !== undefined) {
      renewed.aliveAt = Math.max(renewed.aliveAt, writtenAfter);
      this.keep(start.id, seen);
    }
  }

  /** Whether what answered at a time had the service and build of a start. */
  judge(start: EndpointStart, at: number): StartVerdict {
    const seen = this.endpoints.get(start.id) ?? [];
    const first = seen.findIndex(
      other =>
        isSameStart(other.start, start) || other.start.bornAt > start.bornAt,
    );
    const candidates = first < 0 ? [] : seen.slice(first);
    for (const candidate of candidates) {
      if (!isSameOrigin(candidate.start, start)) {
        return StartVerdict.Refuted;
      }
      if (at <= candidate.aliveAt) {
        return StartVerdict.Confirmed;
      }
    }
    return StartVerdict.Open;
  }

  private keep(id: string, seen: SeenStart[]): void {
    this.endpoints.delete(id);
    this.endpoints.set(id, seen);
    const [oldest] = this.endpoints.keys();
    if (oldest !== undefined && this.endpoints.size > MAXIMUM_ENDPOINTS) {
      this.endpoints.delete(oldest);
    }
  }
}

function isSameStart(one: EndpointStart, other: EndpointStart): boolean {
  return one.bornAt === other.bornAt && isSameOrigin(one, other);
}
