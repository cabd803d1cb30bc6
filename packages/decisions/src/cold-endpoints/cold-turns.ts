import murmurhash from 'murmurhash';

import {ColdAdmission, type ColdEndpoint} from './cold-admission.js';

const SECOND_MILLISECONDS = 1_000;
/**
 * Length of a turn, in times between two requests that an endpoint bears. More
 * requests find a longer turn, and the turns of more hosts coincide.
 */
const TURN_LENGTH = 3;
const HASH_RANGE = 2 ** 32;
/** Endpoints that are remembered; those that are gone are never asked for again. */
const MAXIMUM_REMEMBERED = 1_024;

/**
 * Admits requests to a cold endpoint by turns. Each pair of a host and an endpoint has
 * one short turn in the time in which the endpoint bears one request of every host. The
 * turns of all hosts are spread by a hash, and one that is not used is lost, so that
 * the hosts stay within the bound without a message: also those that are cut off, and
 * after the loss of others. Until the others know of a host that is added, its turns
 * come on top of theirs.
 */
export class ColdTurns extends ColdAdmission {
  private readonly admittedAt = new Map<string, number>();

  /**
   * @param host Identifies this host.
   * @param hostCount Number of hosts that may send requests.
   */
  constructor(
    private readonly host: string,
    private readonly hostCount: () => number,
  ) {
    super();
  }

  override mayAdmit(endpoint: ColdEndpoint, now: number): boolean {
    const {id, requestsPerSecond} = endpoint;
    if (requestsPerSecond <= 0) {
      return false;
    }
    const interval = SECOND_MILLISECONDS / requestsPerSecond;
    const period = interval * Math.max(1, this.hostCount());
    const turn = Math.min(period, TURN_LENGTH * interval);
    const offset = (murmurhash.v3(`${this.host} ${id}`) / HASH_RANGE) * period;
    const hasTurn = (now + period - offset) % period < turn;
    const sinceLast = now - (this.admittedAt.get(id) ?? -Infinity);
    return hasTurn && sinceLast >= turn;
  }

  override admitted({id}: ColdEndpoint, now: number): void {
    this.admittedAt.delete(id);
    this.admittedAt.set(id, now);
    const [oldest] = this.admittedAt.keys();
    if (oldest !== undefined && this.admittedAt.size > MAXIMUM_REMEMBERED) {
      this.admittedAt.delete(oldest);
    }
  }
}
