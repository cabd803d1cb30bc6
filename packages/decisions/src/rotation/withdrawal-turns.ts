import murmurhash from 'murmurhash';

/**
 * Length of a span, in milliseconds: the two checks of a second after which the
 * load balancer sends no more connections, and the two seconds in which
 * shedding grows to its full share.
 */
const SPAN_MILLISECONDS = 4_000;
/** Consecutive spans that are looked up; nothing needs a longer absence. */
const MAXIMUM_SPANS = 3;
/**
 * A host is back this long before the end of its span, in milliseconds. This
 * covers the difference between the clocks of two hosts (some 100 ms) and the
 * interval of observations on a busy host.
 */
const MARGIN_MILLISECONDS = 500;

/**
 * Gives each host of a data centre its turn to leave the load balancer's
 * rotation for load. This applies when several hosts of a data centre are
 * saturated by heavy callers at the same time: if they left together, the load
 * balancer would use all hosts again, and no caller would move.
 *
 * Time is divided into spans. In each span the hosts are ranked by rendezvous
 * hashing (Thaler and Ravishankar, 1998), and those in the first half of the
 * ranking have a turn: fewer than half, and each host in almost every second
 * span. Hosts that list the same hosts agree without a message.
 *
 * @example
 * ```ts
 * const turns = new WithdrawalTurns('host-1 10.0.0.1:80');
 * const milliseconds = turns.remainingMilliseconds(Date.now(), hosts);
 * ```
 */
export class WithdrawalTurns {
  /** @param host Name of this host in the list of hosts. */
  constructor(private readonly host: string) {}

  /**
   * Returns how much longer this host may stay out of the rotation, in
   * milliseconds; 0 without a turn, and always with one or two hosts.
   *
   * @param timeOfDay Milliseconds since 1970.
   * @param hosts Names of all hosts of the data centre that are listed,
   *     including this one.
   */
  remainingMilliseconds(timeOfDay: number, hosts: readonly string[]): number {
    if (!hosts.includes(this.host)) {
      return 0;
    }
    const span = Math.floor(timeOfDay / SPAN_MILLISECONDS);
    let next = span;
    while (next < span + MAXIMUM_SPANS && this.hasTurnIn(next, hosts)) {
      next++;
    }
    const endsAt = next * SPAN_MILLISECONDS - MARGIN_MILLISECONDS;
    return next === span ? 0 : Math.max(0, endsAt - timeOfDay);
  }

  private hasTurnIn(span: number, hosts: readonly string[]): boolean {
    const own = hashOf(span, this.host);
    const isBefore = (host: string) => {
      const other = hashOf(span, host);
      return other < own || (other === own && host < this.host);
    };
    return 2 * (hosts.filter(isBefore).length + 1) < hosts.length;
  }
}

function hashOf(span: number, host: string): number {
  return murmurhash.v3(`${span} ${host}`);
}
