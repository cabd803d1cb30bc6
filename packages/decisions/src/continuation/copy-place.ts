/** An endpoint at which a copy of a run may be kept. */
export interface CopyCandidate {
  readonly id: string;
  readonly dataCenter: string;
  readonly slots: number;
  /** Number of this host's requests in progress there. */
  readonly load: number;
  /** Tokens of this host's copies there. */
  readonly copiedTokens: number;
}

/** A copy that needs a place. */
export interface CopyRequest {
  /** Data centre of the run's engine. */
  readonly dataCenter: string;
  /** Tokens of the copy at the end of the run. */
  readonly tokens: number;
  /** Memory of an engine, tokens; undefined if not known. */
  readonly memoryTokens: number | undefined;
  /** Number of hosts that place copies without knowing each other's. */
  readonly hosts: number;
  /** Random number from 0 to below 1, which chooses among equal endpoints. */
  readonly fraction: number;
}

/** Share of an engine's memory that copies from all hosts may take. */
const COPY_MEMORY_SHARE = 0.25;
/** An endpoint with this share of its slots in use by one host gets no copies from it. */
const MAXIMUM_LOAD_SHARE = 0.5;

/**
 * Chooses the endpoint for the copy of a run, or undefined if none has room. Answers
 * many hosts that copy to the same engines at once: each keeps to its share of an
 * engine's memory and chooses a random one of those that it uses least, since a fixed
 * order would send the copies of all hosts to one engine.
 */
export function chooseCopyPlace<Candidate extends CopyCandidate>(
  request: CopyRequest,
  candidates: readonly Candidate[],
): Candidate | undefined {
  const fitting = candidates.filter(
    candidate =>
      candidate.load < MAXIMUM_LOAD_SHARE * candidate.slots &&
      hasRoom(request, candidate),
  );
  const near = fitting.filter(
    ({dataCenter}) => dataCenter === request.dataCenter,
  );
  return leastUsed(request, near.length > 0 ? near : fitting);
}

/** One copy may exceed a host's share, which is small in a large fleet. */
function hasRoom(
  {tokens, memoryTokens, hosts}: CopyRequest,
  {copiedTokens}: CopyCandidate,
): boolean {
  const forCopies = (memoryTokens ?? Infinity) * COPY_MEMORY_SHARE;
  return (
    tokens <= forCopies &&
    (copiedTokens === 0 ||
      copiedTokens + tokens <= forCopies / Math.max(1, hosts))
  );
}

function leastUsed<Candidate extends CopyCandidate>(
  {fraction, tokens}: CopyRequest,
  candidates: readonly Candidate[],
): Candidate | undefined {
  const first = Math.floor(fraction * candidates.length);
  const rotated = [...candidates.slice(first), ...candidates.slice(0, first)];
  const use = ({load, copiedTokens}: CopyCandidate) =>
    load + copiedTokens / Math.max(1, tokens);
  return rotated.reduce<Candidate | undefined>(
    (best, candidate) =>
      best === undefined || use(candidate) < use(best) ? candidate : best,
    undefined,
  );
}
