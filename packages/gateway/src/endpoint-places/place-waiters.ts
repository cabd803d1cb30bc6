import type {ChosenEndpoint} from '../endpoint-chooser.js';

/** A request that waits for a place at an endpoint. */
export interface PlaceWaiter {
  /** From 0, the most urgent. */
  readonly priority: number;
  /** Selects an endpoint with a free place; undefined if none suits the request. */
  choose(): ChosenEndpoint | undefined;
  /** Ends the wait, with the endpoint if the request has a place. */
  resolve(chosen: ChosenEndpoint | undefined): void;
}

/** Requests that are tried in vain before those behind them are left to wait. */
const MAXIMUM_FRUITLESS_CHOICES = 8;

/** Requests that wait for a place, the most urgent and oldest first. */
export class PlaceWaiters {
  private readonly waiters: PlaceWaiter[] = [];

  get size(): number {
    return this.waiters.length;
  }

  /** Number of requests that are served before a new one of this priority. */
  ahead(priority: number): number {
    return this.waiters.filter(waiter => waiter.priority <= priority).length;
  }

  add(waiter: PlaceWaiter): void {
    this.waiters.splice(this.ahead(waiter.priority), 0, waiter);
  }

  remove(waiter: PlaceWaiter): void {
    const index = this.waiters.indexOf(waiter);
    if (index !== -1) {
      this.waiters.splice(index, 1);
    }
  }

  /** Ends all waits without a place. */
  close(): void {
    for (const waiter of [...this.waiters]) {
      waiter.resolve(undefined);
    }
  }

  /**
   * Gives free places to the first requests that they suit.
   *
   * @param taken Called with each endpoint that is chosen, before the next choice.
   */
  serve(taken: (chosen: ChosenEndpoint) => void): void {
    let fruitless = 0;
    for (const waiter of [...this.waiters]) {
      const chosen = waiter.choose();
      if (chosen === undefined) {
        if (++fruitless === MAXIMUM_FRUITLESS_CHOICES) {
          return;
        }
        continue;
      }
      taken(chosen);
      waiter.resolve(chosen);
    }
  }
}
