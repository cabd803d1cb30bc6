import {EndpointCircuitBreaker} from './endpoint-circuit-breaker.js';

/**
 * Number of endpoints of a data centre that have to be silent at the same time
 * before the data centre is considered unreachable. A single silent endpoint
 * may have crashed.
 */
const MINIMUM_SILENT_ENDPOINTS = 2;

/** Circuit breaker state of one data centre. */
class DataCenterState {
  readonly breaker = new EndpointCircuitBreaker();
  /**
   * Endpoints that became silent since any endpoint of the data centre last
   * responded.
   */
  readonly silentEndpoints = new Set<string>();
}

/**
 * Circuit breaker for other data centres, based on the silence of their
 * endpoints.
 *
 * When this data centre is cut off from the others while callers still arrive,
 * judging each endpoint on its own would try all of them in turn, repeatedly.
 * Each attempt costs its caller the time of a connection that is never
 * established.
 */
export class DataCenterCircuitBreaker {
  private readonly states = new Map<string, DataCenterState>();

  /**
   * @param ownDataCenter The data centre of this host, which is never
   *     considered unreachable as a whole.
   */
  constructor(private readonly ownDataCenter: string) {}

  /**
   * Records that an endpoint accepted no connection or sent nothing within its
   * timeout.
   *
   * @param now Monotonic clock, in milliseconds.
   */
  recordSilence(dataCenter: string, endpoint: string, now: number): void {
    if (dataCenter === this.ownDataCenter) {
      return;
    }
    const {silentEndpoints, breaker} = this.stateOf(dataCenter);
    silentEndpoints.add(endpoint);
    if (silentEndpoints.size >= MINIMUM_SILENT_ENDPOINTS) {
      breaker.recordSilence(now);
    }
  }

  /**
   * Records a response of any endpoint, which shows that the data centre is
   * reachable.
   */
  recordResponse(dataCenter: string): void {
    const state = this.states.get(dataCenter);
    state?.silentEndpoints.clear();
    state?.breaker.recordResponse();
  }

  /** Records that a request was sent to the data centre. */
  requestSent(dataCenter: string): void {
    this.states.get(dataCenter)?.breaker.requestSent();
  }

  /**
   * Records that a request to the data centre ended, whatever its outcome. A
   * trial request without a conclusive outcome must not block the next one.
   */
  requestEnded(dataCenter: string): void {
    this.states.get(dataCenter)?.breaker.requestEnded();
  }

  /**
   * Whether requests may be sent to the data centre: false while the breaker is
   * open, or while a trial request is in progress after that.
   */
  isAvailable(dataCenter: string, now: number): boolean {
    return this.states.get(dataCenter)?.breaker.isAvailable(now) ?? true;
  }

  private stateOf(dataCenter: string): DataCenterState {
    let state = this.states.get(dataCenter);
    if (state === undefined) {
      state = new DataCenterState();
      this.states.set(dataCenter, state);
    }
    return state;
  }
}
