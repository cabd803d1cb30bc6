import type {StreamOrigin} from './stream-origin.js';

/** A build that was not listed for this time is forgotten, milliseconds. */
const MEMORY_MILLISECONDS = 600_000;

/**
 * Which builds of each service had endpoints, and when last. Times are of one
 * monotonic clock, milliseconds.
 *
 * @example
 * ```ts
 * history.listed({service: 'tutors', build: 'v1'}, 0);
 * history.buildsOf('tutors', 0); // ['v1']
 * ```
 */
export class BuildHistory {
  /** When each build was listed last, by service. */
  private readonly listedAt = new Map<string, Map<string, number>>();
  /** When an endpoint of a build was lost without notice, by service. */
  private readonly lostAt = new Map<string, Map<string, number>>();

  /**
   * Records that an endpoint is listed.
   *
   * @returns Whether its service has had other builds, but not this one.
   */
  listed({service, build}: StreamOrigin, now: number): boolean {
    const builds = timesOf(this.listedAt, service);
    const isNew = !builds.has(build);
    if (isNew) {
      forgetBefore(builds, now - MEMORY_MILLISECONDS);
    }
    builds.set(build, now);
    return isNew && builds.size > 1;
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
