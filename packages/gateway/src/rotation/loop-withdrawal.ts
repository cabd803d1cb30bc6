import {WithdrawalTurns} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';

import type {StoreHealth} from '../store-health.js';

/** Whether a host may leave the rotation for its event loop, and why. */
export interface WithdrawalAllowance {
  /** How much longer the host may be out of the rotation, in milliseconds. */
  readonly maximumAbsenceMilliseconds: number;
  /** Hosts of the data centre that the budget log lists. */
  readonly listedHosts: number;
  /** Age of the list, in milliseconds; infinite before any answer of the store. */
  readonly listAgeMilliseconds: number;
  /** Whether the budget store is unavailable to this host. */
  readonly isStoreUnavailable: boolean;
}

/** Dependencies of `LoopWithdrawal`. */
export interface LoopWithdrawalParts {
  /** Name of this host on the budget log. */
  readonly host: string;
  /** Names of the hosts of this data centre that the budget log lists. */
  readonly listedHosts: () => readonly string[];
  readonly store: StoreHealth;
  readonly clock: Clock;
}

/**
 * Limits how long a host may be out of the rotation because its event loop is
 * saturated: to its turn, and not at all while the budget store is unavailable,
 * since other hosts then hold no tokens for its callers.
 *
 * @example
 * ```ts
 * const {maximumAbsenceMilliseconds} = withdrawal.allowance();
 * ```
 */
export class LoopWithdrawal {
  private readonly turns: WithdrawalTurns;

  constructor(private readonly parts: LoopWithdrawalParts) {
    this.turns = new WithdrawalTurns(parts.host);
  }

  /** The allowance at this time. */
  allowance(): WithdrawalAllowance {
    const {listedHosts, store, clock} = this.parts;
    const hosts = listedHosts();
    const isStoreUnavailable = store.isUnavailable;
    return {
      maximumAbsenceMilliseconds: isStoreUnavailable
        ? 0
        : this.turns.remainingMilliseconds(clock.wallMilliseconds(), hosts),
      listedHosts: hosts.length,
      listAgeMilliseconds: Math.round(
        store.answerAgeMilliseconds(clock.monotonicMilliseconds()),
      ),
      isStoreUnavailable,
    };
  }
}
