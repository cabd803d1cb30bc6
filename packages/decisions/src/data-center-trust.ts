import {EndpointTrust} from './endpoint-trust.js';

/**
 * So many endpoints of a data centre that are silent at once are taken for its being
 * cut off; one alone may have crashed.
 */
const SILENT_ENDPOINTS = 2;

/** What is believed of one data centre. */
class DataCenterBelief {
  readonly trust = new EndpointTrust();
  /** Endpoints that fell silent since any of them last spoke. */
  readonly silent = new Set<string>();
}

/**
 * Whether other data centres are within reach, by the silence of their endpoints.
 *
 * Load: this data centre is cut off from the others, and callers still come. Harm of
 * judging each endpoint by itself: every one of them is tried in turn, again and again,
 * and each try costs its caller the time of a connection that does not come.
 */
export class DataCenterTrust {
  private readonly beliefs = new Map<string, DataCenterBelief>();

  /** @param own The data centre of this host; it is never judged as a whole. */
  constructor(private readonly own: string) {}

  /** One of its endpoints gives no connection, or says nothing for too long. */
  fellSilent(dataCenter: string, endpoint: string, now: number): void {
    if (dataCenter === this.own) {
      return;
    }
    const {silent, trust} = this.belief(dataCenter);
    silent.add(endpoint);
    if (silent.size >= SILENT_ENDPOINTS) {
      trust.fellSilent(now);
    }
  }

  /** Any of its endpoints answered: it is within reach. */
  spoke(dataCenter: string): void {
    const belief = this.beliefs.get(dataCenter);
    belief?.silent.clear();
    belief?.trust.spoke();
  }

  /** A request was sent there. */
  sent(dataCenter: string): void {
    this.beliefs.get(dataCenter)?.trust.sent();
  }

  /**
   * A request to it ended, whatever came of it: a trial that told nothing must not
   * keep the next one from being made.
   */
  released(dataCenter: string): void {
    this.beliefs.get(dataCenter)?.trust.released();
  }

  /** False while it is paused, or one request tries it out after a pause. */
  isTrusted(dataCenter: string, now: number): boolean {
    return this.beliefs.get(dataCenter)?.trust.isTrusted(now) ?? true;
  }

  private belief(dataCenter: string): DataCenterBelief {
    let belief = this.beliefs.get(dataCenter);
    if (belief === undefined) {
      belief = new DataCenterBelief();
      this.beliefs.set(dataCenter, belief);
    }
    return belief;
  }
}
