/** A host that can relay connections to endpoints. */
export interface RelayCandidate {
  /** Address of the host, `IP:port`. */
  readonly address: string;
  readonly dataCenter: string;
  /** Number of this host's open connections through the candidate. */
  readonly openConnections: number;
  /** False if the candidate could recently not be reached, or not relay. */
  readonly isAvailable: boolean;
  /**
   * Whether it, or several hosts of its data centre, recently did not reach an
   * endpoint.
   */
  readonly isDoubtful: boolean;
}

/** Number of candidates drawn at random, of which the least used one is taken. */
const RANDOM_CHOICES = 2;

/**
 * Chooses the host through which the next connection is opened, or undefined if
 * none is available.
 *
 * Hosts of the own data centre come first: traffic between data centres is
 * expensive, and they may be cut off from each other. Hosts that may be cut off
 * themselves come last, as do those of a data centre with several of them.
 * Among equals, the less used one of two random hosts is taken (power of two
 * choices; Mitzenmacher, 2001), so that the connections of many hosts that have
 * lost their paths at the same time don't meet at one host.
 *
 * @param fraction Returns random numbers in [0, 1).
 * @example
 * ```ts
 * const relay = chooseRelay(candidates, 'kigali-a', () => random.fraction());
 * ```
 */
export function chooseRelay<Candidate extends RelayCandidate>(
  candidates: readonly Candidate[],
  ownDataCenter: string,
  fraction: () => number,
): Candidate | undefined {
  const available = candidates.filter(({isAvailable}) => isAvailable);
  const sure = available.filter(({isDoubtful}) => !isDoubtful);
  const usable = sure.length > 0 ? sure : available;
  const local = usable.filter(({dataCenter}) => dataCenter === ownDataCenter);
  return leastUsed(local.length > 0 ? local : usable, fraction);
}

function leastUsed<Candidate extends RelayCandidate>(
  candidates: readonly Candidate[],
  fraction: () => number,
): Candidate | undefined {
  let best: Candidate | undefined;
  for (let choice = 0; choice < RANDOM_CHOICES; choice++) {
    const drawn = candidates[Math.floor(fraction() * candidates.length)];
    if (
      drawn !== undefined &&
      drawn.openConnections < (best?.openConnections ?? Infinity)
    ) {
      best = drawn;
    }
  }
  return best;
}
