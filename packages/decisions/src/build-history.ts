import type {StreamOrigin} from './stream-origin.js';

/** A build that was not listed for this time is forgotten, milliseconds. */
const MEMORY_MILLISECONDS = 600_000;

/** A build that had endpoints. */
export interface PastBuild {
  readonly origin: StreamOrigin;
  /** How long ago it was listed last, milliseconds. */
  readonly listedMilliseconds: number;
}

/** The builds that had endpoints until a position of the list. */
export interface PastBuilds {
  /** Every change of the list before this offset is included. */
  readonly position: number;
  /** For how long no build is missing, milliseconds; infinite if none ever is. */
  readonly completeMilliseconds: number;
  readonly builds: readonly PastBuild[];
}

/**
 * Which builds of each service had endpoints, and when last. Times are of one
 * monotonic clock, milliseconds.
 *
 * A host reads every change of the list from its start on. What was listed before, it
 * learns from others that have read the list at least up to there, so that nothing is
 * missing between what they saw and what it saw itself.
 *
 * @example
 * ```ts
 * history.listRead(40, 0);
 * history.listed({service: 'tutors', build: 'v1'}, 0);
 * history.learn({position: 40, completeMilliseconds: 60_000, builds: []}, 0); // []
 * history.isCompleteSince(-60_000, 0); // true
 * history.buildsOf('tutors', 0); // ['v1']
 * ```
 */
export class BuildHistory {
  /** Every change of the list from this offset on was read by this host. */
  private readFrom = Infinity;
  /** No build that was listed since is missing. */
  private completeSince = Infinity;
  /** When each build was listed last, by service. */
  private readonly listedAt = new Map<string, Map<string, number>>();
  /** When an endpoint of a build was lost without notice, by service. */
  private readonly lostAt = new Map<string, Map<string, number>>();

  /**
   * Records that an endpoint is listed.
   *
   * @returns Whether its service has had other builds, but not this one.
   */
  listed({service, build}: StreamOrigin, at: number): boolean {
    const builds = timesOf(this.listedAt, service);
    const before = builds.get(build);
    if (before === undefined) {
      forgetBefore(builds, at - MEMORY_MILLISECONDS);
    }
    builds.set(build, Math.max(before ?? -Infinity, at));
    return before === undefined && builds.size > 1;
  }

  /**
   * Records that the whole list was read, as of a position. Changes before it may be
   * unknown.
   */
  listRead(position: number, now: number): void {
    this.readFrom = position;
    this.completeSince = now;
  }

  /**
   * Adds what was listed before this host read the list.
   *
   * @returns The services that have had other builds than this host knew; undefined if
   *     changes may be missing between `past` and what this host read itself.
   */
  learn(past: PastBuilds, now: number): readonly string[] | undefined {
    if (!this.isContinuedFrom(past.position)) {
      return undefined;
    }
    const differing = past.builds
      .filter(({origin, listedMilliseconds}) =>
        this.listed(origin, now - listedMilliseconds),
      )
      .map(({origin}) => origin.service);
    this.completeSince = Math.min(
      this.completeSince,
      now - past.completeMilliseconds,
    );
    return [...new Set(differing)];
  }

  /** Whether no change is missing between the list before a position and this history. */
  isContinuedFrom(position: number): boolean {
    return position >= this.readFrom;
  }

  /** What another host learns that has just started. */
  past(position: number, now: number): PastBuilds {
    return {
      position,
      completeMilliseconds: now - this.completeSince,
      builds: [...this.listedAt].flatMap(([service, builds]) =>
        [...builds].map(([build, at]) => ({
          origin: {service, build},
          listedMilliseconds: now - at,
        })),
      ),
    };
  }

  /** Whether every build is known that was listed at a time or later. */
  isCompleteSince(since: number, now: number): boolean {
    return this.completeSince <= since && now - MEMORY_MILLISECONDS <= since;
  }

  /** Records that an endpoint was lost that had not announced that it leaves. */
  lost({service, build}: StreamOrigin, now: number): void {
    const builds = timesOf(this.lostAt, service);
    forgetBefore(builds, now - MEMORY_MILLISECONDS);
    builds.set(build, now);
  }

  /** The builds of a service that were listed at this time or later. */
  buildsOf(service: string, since: number): readonly string[] {
    return [...(this.listedAt.get(service) ?? [])]
      .filter(([, at]) => at >= since)
      .map(([build]) => build);
  }

  /** Whether an endpoint of this origin was lost without notice since a time. */
  wasLost({service, build}: StreamOrigin, since: number): boolean {
    return (this.lostAt.get(service)?.get(build) ?? -Infinity) >= since;
  }
}

function timesOf(
  times: Map<string, Map<string, number>>,
  service: string,
): Map<string, number> {
  let builds = times.get(service);
  if (builds === undefined) {
    builds = new Map();
    times.set(service, builds);
  }
  return builds;
}

function forgetBefore(builds: Map<string, number>, before: number): void {
  for (const [build, at] of builds) {
    if (at < before) {
      builds.delete(build);
    }
  }
}
